// Handler of the administration API: authenticates the caller, finds the route, returns status or
// passes a change to the configuration service, and writes the audit trail.
#pragma once

#include "admin/access.hpp"
#include "admin/change_reader.hpp"
#include "admin/status_provider.hpp"
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

// Services that the handler uses. Invariant: all outlive it.
struct admin_context {
    config::configuration_service& configuration;
    const status_provider& fleet;
    const debug::metrics& metrics;
    kernel::event_sink& events;
    // Generates request ids for changes that are sent without one.
    kernel::random_source& random;
};

class admin_handler {
public:
    // Must outlive every change that the configuration service has not completed.
    admin_handler(const admin_context& context, std::vector<settings::admin_token> tokens);

    void handle(std::unique_ptr<http::exchange> exchange);

    // Organisations per page.
    static constexpr std::size_t default_page_size = 100;
    static constexpr std::size_t max_page_size = 1000;

private:
    // Shared, because the completion handler of a change must be copyable. Only one copy is used.
    using exchange_pointer = std::shared_ptr<http::exchange>;

    struct api_call {
        exchange_pointer exchange;
        identity caller;
        // The part of the path that matched '*'.
        std::string name;
        change_reader read_change = nullptr;
    };

    struct route {
        std::string_view method;
        // A '*' at the end matches one path segment, a name.
        std::string_view path;
        settings::admin_role role;
        void (admin_handler::*run)(const api_call&);
        // Parses the body of a change; null for other routes.
        change_reader read_change = nullptr;
    };

    static const std::array<route, 23> routes;

    static bool matches(const route& candidate, std::string_view path);
    // Logs the denial and responds with the error. `who` is empty if the caller is unknown.
    void deny(http::exchange& exchange, kernel::error_kind kind, std::string_view who);
    // Returns null after responding `not_ready` if this router has no configuration yet.
    std::shared_ptr<const config::fleet_configuration> require_configuration(const api_call& call);

    void show_status(const api_call& call);
    void show_members(const api_call& call);
    void show_targets(const api_call& call);
    void show_organisations(const api_call& call);
    void show_organisation(const api_call& call);
    void show_services(const api_call& call);
    void show_presets(const api_call& call);
    void show_preset_in_force(const api_call& call);
    void show_marks(const api_call& call);
    void show_mark_of_data_centre(const api_call& call);
    void show_mark_of_vm(const api_call& call);
    void show_configuration(const api_call& call);
    void show_metrics(const api_call& call);
    void check_configuration(const api_call& call);
    void change(const api_call& call);

    std::string make_request_id();
    void audit(const api_call& call, const config::change_request& change_request,
               config::configuration_version version_before, const config::change_result& result);

    admin_context context;
    access_control access;
};

} // namespace samphirespool::admin
