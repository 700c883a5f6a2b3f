// What a process has used, as the kernel counts it.
#pragma once

#include <sys/types.h>

namespace client_proxy::rig {

// CPU of all its threads since its start, milliseconds; 0 where there is no such process.
double cpuMilliseconds(pid_t process);
// Resident memory, MB (10^6 bytes).
double residentMegabytes(pid_t process);

}  // namespace client_proxy::rig
