// The administration API: finds the route of a request, checks who asks, reads the state or passes
// a change to the configuration service, and writes the audit trail.
#pragma once

#include "admin/access.hpp"
#include "admin/change_reader.hpp"
#include "admin/fleet_view.hpp"
#include "config/configuration_service.hpp"
#include "debug/metrics.hpp"
#include "http/server.hpp"
#include "kernel/event.hpp"
#include "kernel/random.hpp"

#include <array>
#include <memory>
#include <string>
#include <string_view>

namespace samphirespool::admin {

// Collaborators of the handler. Invariant: all outlive it.
struct admin_context {
    config::configuration_service& configuration;
    const fleet_view& fleet;
    const debug::metrics& metrics;
    kernel::event_sink& events;
    // For request ids of changes that come without one.
    kernel::random_source& random;
};

class admin_handler {
public:
    // Must outlive every change that the configuration service has not answered.
    admin_handler(const admin_context& context, std::vector<settings::admin_token> tokens);

    void handle(std::unique_ptr<http::exchange> exchange);

    static constexpr std::size_t default_page = 100;
    static constexpr std::size_t max_page = 1000;

private:
    // Shared, because the answer of a change must be copyable; one party uses it at a time.
    using exchange_pointer = std::shared_ptr<http::exchange>;

    struct call {
        exchange_pointer exchange;
        identity caller;
        // The part of the path that stands for '*'.
        std::string name;
        change_reader read_change = nullptr;
    };

    struct route {
        std::string_view method;
        // One '*' at the end stands for a name.
        std::string_view path;
        settings::admin_role role;
        void (admin_handler::*run)(const call&);
        // Of changes only.
        change_reader read_change = nullptr;
    };

    static const std::array<route, 23> routes;

    static bool matches(const route& candidate, std::string_view path);
    void deny(http::exchange& exchange, kernel::error_kind kind, std::string_view who);
    // Null after answering `not_ready` if no configuration was learnt yet.
    std::shared_ptr<const config::fleet_configuration> configuration_or_answer(const call& one);

    void show_status(const call& one);
    void show_members(const call& one);
    void show_targets(const call& one);
    void show_organisations(const call& one);
    void show_organisation(const call& one);
    void show_services(const call& one);
    void show_presets(const call& one);
    void show_preset_in_force(const call& one);
    void show_marks(const call& one);
    void show_mark_of_data_centre(const call& one);
    void show_mark_of_vm(const call& one);
    void show_configuration(const call& one);
    void show_metrics(const call& one);
    void check_configuration(const call& one);
    void change(const call& one);

    std::string make_request_id();
    void audit(const call& one, const config::change_request& wanted,
               config::configuration_version before, const config::change_result& result);

    admin_context context;
    access_control access;
};

} // namespace samphirespool::admin
