// Package eventloop stops event loops of package nbio also if they have hardly
// begun. The goroutines of such a loop clear the mark that Stop sets when they
// begin, so that Stop waits for them for ever if it comes before; those that accept
// connections are busy all the while, as their listener is closed.
package eventloop
