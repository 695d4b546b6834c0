// Routes of the administration API.
#include "admin/admin_handler.hpp"

#include "admin/query.hpp"
#include "admin/response_bodies.hpp"
#include "config/checks.hpp"
#include "config/documents.hpp"
#include "http/error_response.hpp"
#include "settings/units.hpp"

#include <algorithm>
#include <cctype>

namespace samphirespool::admin {

namespace {

constexpr auto reader = settings::admin_role::reader;
constexpr auto operator_role = settings::admin_role::operator_role;
constexpr std::size_t max_request_id_bytes = 128;

void respond_json(http::exchange& exchange, int status, std::string_view body) {
    exchange.respond(status, {{"content-type", "application/json"}}, body);
}

void respond_error(http::exchange& exchange, kernel::error_kind kind, std::string detail) {
    http::respond_with_error(exchange, {{kind, std::move(detail)}});
}

bool is_valid_request_id(std::string_view text) {
    if (text.empty() || text.size() > max_request_id_bytes)
        return false;
    return std::all_of(text.begin(), text.end(), [](unsigned char character) {
        return std::isalnum(character) != 0 || character == '-' || character == '_' ||
               character == '.';
    });
}

void respond_mark(http::exchange& exchange,
                  const std::map<std::string, config::mark, std::less<>>& marks,
                  const std::string& name, config::configuration_version version) {
    const auto it = marks.find(name);
    if (it == marks.end())
        return respond_error(exchange, kernel::error_kind::not_found,
                             "there is no mark with this name");
    respond_json(exchange, 200, mark_json(name, it->second, version));
}

// Reads if_version and request_id from the query, which override those of the body. Returns an
// error message if one is invalid.
std::optional<std::string> read_query(std::string_view query, change_input& input) {
    if (const auto text = query_value(query, "if_version")) {
        input.if_version = settings::parse_count(*text);
        if (!input.if_version)
            return "if_version must be a whole number";
    }
    if (const auto text = query_value(query, "request_id"))
        input.request_id = std::string(*text);
    if (input.request_id && !is_valid_request_id(*input.request_id))
        return "request_id must be 1 to 128 letters, digits, hyphens, underscores or dots";
    return std::nullopt;
}

} // namespace

const std::array<admin_handler::route, 23> admin_handler::routes{{
    {"GET", "/admin/v1/status", reader, &admin_handler::show_status},
    {"GET", "/admin/v1/members", reader, &admin_handler::show_members},
    {"GET", "/admin/v1/targets", reader, &admin_handler::show_targets},
    {"GET", "/admin/v1/organisations", reader, &admin_handler::show_organisations},
    {"GET", "/admin/v1/organisations/*", reader, &admin_handler::show_organisation},
    {"GET", "/admin/v1/services", reader, &admin_handler::show_services},
    {"GET", "/admin/v1/presets", reader, &admin_handler::show_presets},
    {"GET", "/admin/v1/preset", reader, &admin_handler::show_preset_in_force},
    {"GET", "/admin/v1/marks", reader, &admin_handler::show_marks},
    {"GET", "/admin/v1/marks/data-centres/*", reader, &admin_handler::show_mark_of_data_centre},
    {"GET", "/admin/v1/marks/vms/*", reader, &admin_handler::show_mark_of_vm},
    {"GET", "/admin/v1/configuration", reader, &admin_handler::show_configuration},
    {"GET", "/admin/v1/metrics", reader, &admin_handler::show_metrics},
    {"GET", "/metrics", reader, &admin_handler::show_metrics},
    {"POST", "/admin/v1/configuration/check", reader, &admin_handler::check_configuration},
    {"PUT", "/admin/v1/configuration", operator_role, &admin_handler::change,
     read_whole_configuration},
    {"PUT", "/admin/v1/preset", operator_role, &admin_handler::change, read_preset_choice},
    {"PUT", "/admin/v1/marks/data-centres/*", operator_role, &admin_handler::change,
     read_data_centre_mark},
    {"PUT", "/admin/v1/marks/vms/*", operator_role, &admin_handler::change, read_vm_mark},
    {"PUT", "/admin/v1/organisations/*", operator_role, &admin_handler::change, read_organisation},
    {"DELETE", "/admin/v1/organisations/*", operator_role, &admin_handler::change,
     read_organisation_removal},
    {"PUT", "/admin/v1/services/*", operator_role, &admin_handler::change, read_service},
    {"PUT", "/admin/v1/presets/*", operator_role, &admin_handler::change, read_preset},
}};

admin_handler::admin_handler(const admin_context& context,
                             std::vector<settings::admin_token> tokens)
    : context(context), access(std::move(tokens)) {}

bool admin_handler::matches(const route& candidate, std::string_view path) {
    if (!candidate.path.ends_with('*'))
        return candidate.path == path;
    const auto prefix = candidate.path.substr(0, candidate.path.size() - 1);
    return path.starts_with(prefix) && path.size() > prefix.size() &&
           path.find('/', prefix.size()) == std::string_view::npos;
}

void admin_handler::handle(std::unique_ptr<http::exchange> exchange) {
    const auto request = exchange->request();
    const auto caller = this->access.authenticate(request.headers);
    if (!caller)
        return this->deny(*exchange, kernel::error_kind::unauthorized, "");
    for (const auto& candidate : routes) {
        if (candidate.method != request.method || !matches(candidate, request.path))
            continue;
        if (!caller->has_role(candidate.role))
            return this->deny(*exchange, kernel::error_kind::forbidden, caller->name);
        std::string name;
        if (candidate.path.ends_with('*'))
            name = request.path.substr(candidate.path.size() - 1);
        const api_call call{std::move(exchange), *caller, std::move(name), candidate.read_change};
        return (this->*candidate.run)(call);
    }
    respond_error(*exchange, kernel::error_kind::not_found,
                  "no such call; see the documentation of the administration API");
}

void admin_handler::deny(http::exchange& exchange, kernel::error_kind kind, std::string_view who) {
    const auto request = exchange.request();
    this->context.events.write(kernel::severity::warning, "admin.denied", {},
                               {{"who", std::string(who)},
                                {"method", std::string(request.method)},
                                {"path", std::string(request.path)},
                                {"code", std::string(kernel::error_mapping_for(kind).code)}});
    respond_error(exchange, kind,
                  kind == kernel::error_kind::forbidden
                      ? "the role of this token does not allow changes"
                      : "a valid token is required: authorization: Bearer TOKEN");
}

std::shared_ptr<const config::fleet_configuration>
admin_handler::require_configuration(const api_call& call) {
    auto current = this->context.configuration.current();
    if (current == nullptr)
        respond_error(*call.exchange, kernel::error_kind::not_ready,
                      "this router has not received a configuration yet");
    return current;
}

void admin_handler::show_status(const api_call& call) {
    const auto current = this->context.configuration.current();
    respond_json(*call.exchange, 200, status_json(this->context.fleet.status(), current.get()));
}

void admin_handler::show_members(const api_call& call) {
    respond_json(*call.exchange, 200, members_json(this->context.fleet.members()));
}

void admin_handler::show_targets(const api_call& call) {
    const auto service = query_value(call.exchange->request().query, "service").value_or("");
    respond_json(*call.exchange, 200, targets_json(this->context.fleet.targets(), service));
}

void admin_handler::show_organisations(const api_call& call) {
    const auto current = this->require_configuration(call);
    if (current == nullptr)
        return;
    const auto query = call.exchange->request().query;
    page requested{query_value(query, "after").value_or(""), default_page_size};
    if (const auto text = query_value(query, "limit")) {
        const auto limit = settings::parse_count(*text);
        if (!limit || *limit == 0 || *limit > max_page_size)
            return respond_error(*call.exchange, kernel::error_kind::bad_request,
                                 "limit must be 1 to " + std::to_string(max_page_size));
        requested.limit = static_cast<std::size_t>(*limit);
    }
    respond_json(*call.exchange, 200, organisations_json(*current, requested));
}

void admin_handler::show_organisation(const api_call& call) {
    const auto current = this->require_configuration(call);
    if (current == nullptr)
        return;
    const auto it = current->organisations.find(call.name);
    if (it == current->organisations.end())
        return respond_error(*call.exchange, kernel::error_kind::not_found,
                             "no organisation has this name");
    respond_json(*call.exchange, 200, config::write_organisation(it->second));
}

void admin_handler::show_services(const api_call& call) {
    if (const auto current = this->require_configuration(call))
        respond_json(*call.exchange, 200, services_json(*current));
}

void admin_handler::show_presets(const api_call& call) {
    if (const auto current = this->require_configuration(call))
        respond_json(*call.exchange, 200, presets_json(*current));
}

void admin_handler::show_preset_in_force(const api_call& call) {
    if (const auto current = this->require_configuration(call))
        respond_json(*call.exchange, 200, preset_in_force_json(*current));
}

void admin_handler::show_marks(const api_call& call) {
    if (const auto current = this->require_configuration(call))
        respond_json(*call.exchange, 200, marks_json(*current));
}

void admin_handler::show_mark_of_data_centre(const api_call& call) {
    if (const auto current = this->require_configuration(call))
        respond_mark(*call.exchange, current->data_centre_marks, call.name, current->version);
}

void admin_handler::show_mark_of_vm(const api_call& call) {
    if (const auto current = this->require_configuration(call))
        respond_mark(*call.exchange, current->vm_marks, call.name, current->version);
}

void admin_handler::show_configuration(const api_call& call) {
    if (const auto current = this->require_configuration(call))
        respond_json(*call.exchange, 200, config::export_configuration(*current));
}

void admin_handler::show_metrics(const api_call& call) {
    call.exchange->respond(200, {{"content-type", "text/plain; version=0.0.4"}},
                           this->context.metrics.prometheus_text());
}

void admin_handler::check_configuration(const api_call& call) {
    auto parsed = config::import_configuration(call.exchange->request().body);
    auto faults = std::move(parsed.faults);
    if (parsed.value)
        faults = config::check(*parsed.value);
    constexpr int invalid_status = 422;
    respond_json(*call.exchange, faults.empty() ? 200 : invalid_status, check_json(faults));
}

void admin_handler::change(const api_call& call) {
    const auto request = call.exchange->request();
    auto input = call.read_change(request.body, call.name);
    if (const auto fault = read_query(request.query, input))
        return respond_error(*call.exchange, kernel::error_kind::bad_request, *fault);
    const auto current = this->context.configuration.current();
    const auto version_before = current == nullptr ? 0 : current->version;
    config::change_request change_request;
    change_request.if_version = input.if_version.value_or(0);
    change_request.request_id = input.request_id ? *input.request_id : this->make_request_id();
    change_request.operator_name = call.caller.name;
    const auto finish = [this, call, version_before,
                         change_request](const config::change_result& result) {
        this->audit(call, change_request, version_before, result);
        const auto response = make_change_response(result, change_request.request_id);
        respond_json(*call.exchange, response.http_status, response.body);
    };
    if (!input.body)
        return finish({config::change_status::invalid, version_before, std::move(input.faults)});
    // The body is set on a second copy, so that the closure above does not hold it; the audit does
    // not need it.
    auto full_request = change_request;
    full_request.body = std::move(*input.body);
    this->context.configuration.change(std::move(full_request), finish);
}

std::string admin_handler::make_request_id() {
    return "router-" + std::to_string(this->context.random.next());
}

void admin_handler::audit(const api_call& call, const config::change_request& change_request,
                          config::configuration_version version_before,
                          const config::change_result& result) {
    const auto request = call.exchange->request();
    this->context.events.write(
        kernel::severity::info, "admin.change", {},
        {{"who", change_request.operator_name},
         {"what", std::string(request.method) + " " + std::string(request.path)},
         {"request_id", change_request.request_id},
         {"if_version", change_request.if_version},
         {"from_version", version_before},
         {"to_version", result.version},
         {"result", std::string(to_string(result.status))},
         {"faults", std::uint64_t{result.faults.size()}}});
}

} // namespace samphirespool::admin
