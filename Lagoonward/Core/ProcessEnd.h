#pragma once

namespace lagoonward {

/// Makes a process that ends by a fault say so: an exception that leaves a thread, or a fatal signal, writes one last
/// JSON line to standard output, `process_ends`, with the exception's type and message or the signal, and the name of the
/// thread. The line is written past the log's queue, which ends with the process. The process then ends as it would have
/// ended, so that whoever started it sees the signal.
void
ReportFatalErrors();

/// Names the calling thread, for logs and debuggers.
/// @param aName  a string literal of up to 15 characters
void
NameThread(const char* aName);

} // namespace lagoonward
