// Package startsignal keeps a program that is starting from dying of SIGHUP. A program that
// imports it ignores the signal from before its first line of Go, until it asks for it.
//
// Failure: the platform changes the settings of a process that it has just started, and says
// so by SIGHUP. Until a program asks for that signal it ends of it, and a Go program comes to
// ask only once all its packages are initialised, some ms after its start and more on a busy
// machine. The process is seen to end by itself, without a line in its log.
package startsignal

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
