// Command chicorybench is described by "chicorybench help".
package main
