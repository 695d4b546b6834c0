// Reads the load reports of the targets whose shards this router owns, one GET /load at a time for
// each target.
#pragma once

#include "admission/target_ledger.hpp"
#include "http/client.hpp"
#include "kernel/loop.hpp"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace samphirespool::router {

struct polled_target {
    helpers::target_id id;
    helpers::endpoint address;
};

// Returns nothing if the body is no load report.
struct parsed_load {
    admission::load_report report;
    // Grows each time the target makes a report anew.
    std::uint64_t generation = 0;
};
std::optional<parsed_load> parse_load(std::string_view body);

class load_poller {
public:
    using target_source = std::function<std::vector<polled_target>()>;
    using report_handler =
        std::function<void(helpers::target_id target, const admission::load_report& report)>;

    static constexpr helpers::duration period = std::chrono::seconds(1);
    static constexpr helpers::duration timeout = std::chrono::seconds(2);

    load_poller(kernel::loop& loop, http::client& client, target_source targets,
                report_handler on_report);
    ~load_poller();
    load_poller(const load_poller&) = delete;
    load_poller& operator=(const load_poller&) = delete;

    // Nothing if no report came yet.
    std::optional<admission::load_report> last_report(helpers::target_id target) const;
    std::uint64_t failures() const { return this->failed; }

private:
    class poll;
    struct known_report {
        admission::load_report report;
        std::uint64_t generation = 0;
        // When this generation was seen first.
        helpers::time_point first_seen;
    };

    void tick();
    void take(helpers::target_id target, std::string_view body);
    void end(helpers::target_id target, bool success);

    kernel::loop& loop;
    http::client& client;
    target_source targets;
    report_handler on_report;
    // Invariant: at most one poll for each target.
    std::map<helpers::target_id, std::unique_ptr<poll>> polls;
    std::map<helpers::target_id, known_report> reports;
    std::uint64_t failed = 0;
    kernel::timer_id timer = 0;
};

} // namespace samphirespool::router
