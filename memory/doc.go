// Package memory keeps a process within the memory of its VM, which ends processes that exceed it. LimitProcess makes the
// garbage collector keep below a share of it; a Budget bounds the bodies of requests, so that one for which there is no memory
// can be refused instead; an Account counts all that callers make the process hold, by cause. ChooseStalled decides whose
// connection is given up when there is too little.
package memory
