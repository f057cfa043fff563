// Package startsignal keeps SIGHUP from killing a program that is starting. A program that
// imports it ignores the signal from before the Go runtime starts until it calls signal.Notify.
//
// The platform sends SIGHUP when it changes the settings of a process, which it may have just
// started. The default action of the signal kills the process, and a Go program can install a
// handler only after its packages are initialised: some ms after its start, longer on a busy
// machine. Such a process dies without a line in its log.
package startsignal

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
