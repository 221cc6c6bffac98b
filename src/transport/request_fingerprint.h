// Recognizes a request that comes again.

#ifndef MUSTARDFLOW_TRANSPORT_REQUEST_FINGERPRINT_H_
#define MUSTARDFLOW_TRANSPORT_REQUEST_FINGERPRINT_H_

#include "coordination/crash_report.h"
#include "transport/request_relay.h"

namespace mustardflow::transport {

// Returns a hash of the method, host, target and body of the request, and of
// its caller: the address and the credentials. All other fields may differ when
// a caller repeats a request.
coordination::RequestFingerprint FingerprintOf(const CallerMessage& message);

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_REQUEST_FINGERPRINT_H_
