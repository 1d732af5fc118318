#ifndef CLI_SERVER_PROCESS_H_
#define CLI_SERVER_PROCESS_H_

namespace tamaracktrail {

//! Prepares the process of a command that serves until it is stopped, whatever
//! it inherited from its parent: a write to a pipe or socket without a reader
//! fails and does not end the process, and standard input, output and error are
//! open. Precondition: no other thread runs yet.
void SetUpServerProcess();

//! Raises the process's limit of open files to `wanted` as far as the system
//! allows. Returns the number of files that may be open, `wanted` at most.
//! Thread-safe.
int RaiseDescriptorLimit(int wanted);

}  // namespace tamaracktrail

#endif  // CLI_SERVER_PROCESS_H_
