// Package soak runs gates as processes of their own, brings random faults upon
// them from outside and checks what callers got and targets ran.
//
// Problem: tests bring about one fault at a time. What breaks a promise is often
// a second one that arrives while the first is still handled.
//
// A seed fixes the plan: which faults strike what, when and for how long, in
// overlapping series. Callers keep their connections until they end. A check
// excuses only what a fault in the history of the run explains; runs whose plan
// holds planned work or trouble of the store alone are excused least.
//
// The store, the targets and the links between are stand-ins in this process.
// The soak signals only processes that it started, by their IDs.
package soak
