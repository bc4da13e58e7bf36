// Package quarantine finds the parts of prompts that crash the endpoints which answer on
// them, and withholds the prompts with such a part.
//
// A prompt consists of parts that it shares with others, but for the last one. A part
// that crashes endpoints shows by what its prompts have in common: each of them ends
// with a crash of its endpoint before, or just after, the first event of its answer. The
// other prompts that were in flight at the same endpoint break off as well, but their
// parts are also in prompts that are answered.
//
// Tracker keeps the jobs in flight at each endpoint. When jobs break off, it decides
// whether their endpoint crashed and which of them may be the cause, the suspects. A
// part of a suspect is cleared by any prompt with it that is answered. A part that
// remains in the suspects of several crashes, and in more of them than any other part,
// is a Finding.
//
// List holds the verdicts on parts. Verdicts are exchanged between the entry VMs; they
// merge in any order, and end after a time that doubles with each new verdict on the
// same part.
package quarantine
