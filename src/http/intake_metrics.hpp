// Metrics of what servers refuse, close and hold, and of the responses that clients reject.
#pragma once

#include "debug/metrics.hpp"
#include "http/h2o_server.hpp"
#include "http/memory_account.hpp"
#include "kernel/response_fault.hpp"

#include <string>
#include <vector>

namespace samphirespool::http {

// Names begin with `prefix`; `port` is the value of their label. The server must outlive the
// metrics.
void register_server_metrics(debug::metrics& metrics, const std::string& prefix,
                             const std::string& port, const h2o_server& server);

// The account must outlive the metrics.
void register_account_metrics(debug::metrics& metrics, const std::string& prefix,
                              const memory_account& account);

// Counts of the responses of one kind of party that could not be accepted, by fault. `party` is the
// value of a label. The counts must outlive the metrics.
void register_response_metrics(debug::metrics& metrics, const std::string& prefix,
                               const std::string& party,
                               const std::vector<const kernel::response_fault_counts*>& sources);

} // namespace samphirespool::http
