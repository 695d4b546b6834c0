// Maps the counts of servers and of the account to the names of their metrics.
#include "http/intake_metrics.hpp"

namespace samphirespool::http {

void register_server_metrics(debug::metrics& metrics, const std::string& prefix,
                             const std::string& port, const h2o_server& server) {
    const debug::label_list labels{{"port", port}};
    metrics.watch_gauge(
        {prefix + "connections", "Open connections of callers."},
        [&server] { return static_cast<double>(server.connections()); }, labels);
    metrics.watch_counter(
        {prefix + "connections_refused_total",
         "Connections that were refused because too many were open."},
        [&server] { return server.refused_connections(); }, labels);
    metrics.watch_counter(
        {prefix + "connections_replaced_total",
         "Silent or unfinished connections that were closed for new ones."},
        [&server] { return server.replaced_connections(); }, labels);
}

void register_account_metrics(debug::metrics& metrics, const std::string& prefix,
                              const memory_account& account) {
    metrics.watch_gauge(
        {prefix + "held_bytes",
         "Bytes of requests, from their first byte on, and of responses that callers have not "
         "read."},
        [&account] { return static_cast<double>(account.used()); });
    metrics.watch_counter(
        {prefix + "intake_refused_total",
         "Requests that were refused while they arrived, as their bodies did not fit the memory."},
        [&account] { return account.totals().refused; });
    metrics.watch_counter({prefix + "intake_evicted_total",
                           "Connections whose request or response was dropped for want of memory."},
                          [&account] { return account.totals().evicted; });
}

void register_response_metrics(debug::metrics& metrics, const std::string& prefix,
                               const std::string& party,
                               const std::vector<const kernel::response_fault_counts*>& sources) {
    using kernel::response_fault;
    for (auto i = std::size_t{1}; i < static_cast<std::size_t>(response_fault::count); ++i) {
        const auto fault = static_cast<response_fault>(i);
        metrics.watch_counter(
            {prefix + "broken_responses_total",
             "Responses that were rejected as malformed, incomplete or not to the request."},
            [sources, fault] {
                std::uint64_t total = 0;
                for (const auto* each : sources)
                    total += each->of(fault);
                return total;
            },
            {{"from", party}, {"fault", std::string(kernel::to_string(fault))}});
    }
}

} // namespace samphirespool::http
