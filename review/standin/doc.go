// Package standin holds the stand-ins of the review's cases: a notice board, workers, the clients of both frontends, the
// issuer of the devices' identities, and the means to start and signal the project's programs as separate processes.
//
// The stand-ins follow the platform's pages and the README of the invoke API. All addresses are loopback addresses with
// free ports, and all files are in a temporary folder.
package standin
