// Metrics of what servers refuse, close and hold.
#pragma once

#include "debug/metrics.hpp"
#include "http/h2o_server.hpp"
#include "http/memory_account.hpp"

#include <string>

namespace samphirespool::http {

// Names begin with `prefix`; `port` is the value of their label. The server must outlive the
// metrics.
void register_server_metrics(debug::metrics& metrics, const std::string& prefix,
                             const std::string& port, const h2o_server& server);

// The account must outlive the metrics.
void register_account_metrics(debug::metrics& metrics, const std::string& prefix,
                              const memory_account& account);

} // namespace samphirespool::http
