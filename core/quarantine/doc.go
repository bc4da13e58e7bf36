// Package quarantine finds the requests, and the parts of prompts, that crash the endpoints
// which run them, and withholds the requests concerned.
//
// A prompt consists of parts that it shares with others, but for the last one. A part
// that crashes endpoints shows by what its prompts have in common: each of them ends
// with a crash of its endpoint before, or just after, the first event of its answer. The
// other prompts that were in flight at the same endpoint break off as well, but their
// parts are also in prompts that are answered. A request that comes again, whichever
// attempt and VM it comes by, is known by its digest, and shows by its own crashes.
//
// Tracker keeps the jobs in flight at each endpoint. When jobs break off, it decides
// whether their endpoint crashed and which of them may be the cause, the suspects. A
// suspect is cleared by its own answer, and a part of it by any prompt with it that is
// answered. What remains in the suspects of several crashes is a Finding.
//
// List holds the verdicts on requests and parts, the subjects. Verdicts are exchanged
// between the entry VMs; they merge in any order, and end after a time that doubles with
// each new verdict on the same subject.
package quarantine
