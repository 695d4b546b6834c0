// The platform stand-in: the object API with versions, conditional updates and watches, the list
// of VMs, and control calls that inject faults. The API is described in docs/ARCHITECTURE.md.
#pragma once

#include "http/server.hpp"
#include "kernel/loop.hpp"
#include "standins/platform/fault_plan.hpp"
#include "standins/platform/object_table.hpp"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace samphirespool::standins {

struct platform_settings {
    // Calls per second; 0 means no limit.
    double writes_per_second = 0;
    double reads_per_second = 0;
    std::size_t max_value_bytes = 1'048'576;
};

// Calls received, including rejected ones; a watch counts as one call.
struct call_counters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t lists = 0;
    std::uint64_t watches = 0;
    std::uint64_t vm_lists = 0;
};

class platform {
public:
    platform(kernel::loop& loop, const platform_settings& settings);
    ~platform();
    platform(const platform&) = delete;
    platform& operator=(const platform&) = delete;

    // Replies to one call, at once or later.
    void handle(std::unique_ptr<http::exchange> call);
    const call_counters& counters() const { return this->counts; }

private:
    struct reply {
        int status = 200;
        std::string body;
    };
    struct watcher {
        std::string key;
        std::uint64_t after = 0;
        std::shared_ptr<http::exchange> call;
        kernel::timer_id timer = 0;
    };
    using watchers_list = std::list<watcher>;
    using operation = reply (platform::*)(const http::server_request&);
    struct route {
        std::string_view method;
        std::string_view prefix;
        operation run;
        std::uint64_t call_counters::*counter;
        bool is_write;
    };

    static const route routes[];
    const route* find_route(const http::server_request& wanted) const;
    void handle_store_call(const route& target, std::unique_ptr<http::exchange> call);
    bool handle_control(http::exchange& call);
    void send_reply(std::shared_ptr<http::exchange> call, reply result);
    void start_watch(std::shared_ptr<http::exchange> call);
    void end_watch(watchers_list::iterator which, reply result);
    void notify(std::string_view key);
    void reject_watches();

    reply get_object(const http::server_request& wanted);
    reply put_object(const http::server_request& wanted);
    reply delete_object(const http::server_request& wanted);
    reply list_objects(const http::server_request& wanted);
    reply list_vms(const http::server_request& wanted);
    reply object_reply(std::string_view key, const stored_object& found) const;
    bool set_faults(std::string_view body);

    kernel::loop& loop;
    platform_settings settings;
    object_table objects;
    std::string vms_document;
    fault_plan faults;
    rate_limit write_limit;
    rate_limit read_limit;
    call_counters counts;
    watchers_list watchers;
    // Expires with this object, so that callbacks that run later can detect its destruction.
    std::shared_ptr<bool> alive;
};

} // namespace samphirespool::standins
