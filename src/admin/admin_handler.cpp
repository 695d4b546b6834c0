// Routes of the administration API.
#include "admin/admin_handler.hpp"

#include "admin/answers.hpp"
#include "admin/query.hpp"
#include "config/checks.hpp"
#include "config/documents.hpp"
#include "http/error_response.hpp"
#include "settings/units.hpp"

#include <algorithm>
#include <cctype>

namespace samphirespool::admin {

namespace {

constexpr auto reader = settings::admin_role::reader;
constexpr auto changer = settings::admin_role::operator_role;
constexpr std::size_t max_request_id_bytes = 128;

void respond_json(http::exchange& exchange, int status, std::string_view body) {
    exchange.respond(status, {{"content-type", "application/json"}}, body);
}

void respond_error(http::exchange& exchange, kernel::error_kind kind, std::string detail) {
    http::respond_with_error(exchange, {{kind, std::move(detail)}});
}

bool is_request_id(std::string_view text) {
    if (text.empty() || text.size() > max_request_id_bytes)
        return false;
    return std::all_of(text.begin(), text.end(), [](unsigned char letter) {
        return std::isalnum(letter) != 0 || letter == '-' || letter == '_' || letter == '.';
    });
}

void respond_mark(http::exchange& exchange,
                  const std::map<std::string, config::mark, std::less<>>& marks,
                  const std::string& name, config::configuration_version version) {
    const auto found = marks.find(name);
    if (found == marks.end())
        return respond_error(exchange, kernel::error_kind::not_found, "there is no mark on it");
    respond_json(exchange, 200, mark_json(name, found->second, version));
}

// Takes if_version and request_id from the query, which goes before the body. Returns the fault.
std::optional<std::string> read_query(std::string_view query, change_input& input) {
    if (const auto text = query_value(query, "if_version")) {
        input.if_version = settings::parse_count(*text);
        if (!input.if_version)
            return "if_version must be a whole number";
    }
    if (const auto text = query_value(query, "request_id"))
        input.request_id = std::string(*text);
    if (input.request_id && !is_request_id(*input.request_id))
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
    {"PUT", "/admin/v1/configuration", changer, &admin_handler::change, read_whole_configuration},
    {"PUT", "/admin/v1/preset", changer, &admin_handler::change, read_preset_choice},
    {"PUT", "/admin/v1/marks/data-centres/*", changer, &admin_handler::change,
     read_data_centre_mark},
    {"PUT", "/admin/v1/marks/vms/*", changer, &admin_handler::change, read_vm_mark},
    {"PUT", "/admin/v1/organisations/*", changer, &admin_handler::change, read_organisation},
    {"DELETE", "/admin/v1/organisations/*", changer, &admin_handler::change,
     read_organisation_removal},
    {"PUT", "/admin/v1/services/*", changer, &admin_handler::change, read_service},
    {"PUT", "/admin/v1/presets/*", changer, &admin_handler::change, read_preset},
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
    const auto caller = this->access.identify(request.headers);
    if (!caller)
        return this->deny(*exchange, kernel::error_kind::unauthorized, "");
    for (const auto& candidate : routes) {
        if (candidate.method != request.method || !matches(candidate, request.path))
            continue;
        if (!caller->may(candidate.role))
            return this->deny(*exchange, kernel::error_kind::forbidden, caller->name);
        std::string name;
        if (candidate.path.ends_with('*'))
            name = request.path.substr(candidate.path.size() - 1);
        const call one{std::move(exchange), *caller, std::move(name), candidate.read_change};
        return (this->*candidate.run)(one);
    }
    respond_error(*exchange, kernel::error_kind::not_found,
                  "no such call; see the administration API's documentation");
}

void admin_handler::deny(http::exchange& exchange, kernel::error_kind kind, std::string_view who) {
    const auto request = exchange.request();
    this->context.events.write(kernel::severity::warning, "admin.denied", {},
                               {{"who", std::string(who)},
                                {"method", std::string(request.method)},
                                {"path", std::string(request.path)},
                                {"code", std::string(kernel::answer_for(kind).code)}});
    respond_error(exchange, kind,
                  kind == kernel::error_kind::forbidden
                      ? "this token may read but not change"
                      : "a known token is needed: authorization: Bearer TOKEN");
}

std::shared_ptr<const config::fleet_configuration>
admin_handler::configuration_or_answer(const call& one) {
    auto current = this->context.configuration.current();
    if (current == nullptr)
        respond_error(*one.exchange, kernel::error_kind::not_ready,
                      "this router has not learnt a configuration yet");
    return current;
}

void admin_handler::show_status(const call& one) {
    const auto current = this->context.configuration.current();
    respond_json(*one.exchange, 200, status_json(this->context.fleet.status(), current.get()));
}

void admin_handler::show_members(const call& one) {
    respond_json(*one.exchange, 200, members_json(this->context.fleet.members()));
}

void admin_handler::show_targets(const call& one) {
    const auto service = query_value(one.exchange->request().query, "service").value_or("");
    respond_json(*one.exchange, 200, targets_json(this->context.fleet.targets(), service));
}

void admin_handler::show_organisations(const call& one) {
    const auto current = this->configuration_or_answer(one);
    if (current == nullptr)
        return;
    const auto query = one.exchange->request().query;
    page wanted{query_value(query, "after").value_or(""), default_page};
    if (const auto text = query_value(query, "limit")) {
        const auto limit = settings::parse_count(*text);
        if (!limit || *limit == 0 || *limit > max_page)
            return respond_error(*one.exchange, kernel::error_kind::bad_request,
                                 "limit must be 1 to " + std::to_string(max_page));
        wanted.limit = static_cast<std::size_t>(*limit);
    }
    respond_json(*one.exchange, 200, organisations_json(*current, wanted));
}

void admin_handler::show_organisation(const call& one) {
    const auto current = this->configuration_or_answer(one);
    if (current == nullptr)
        return;
    const auto found = current->organisations.find(one.name);
    if (found == current->organisations.end())
        return respond_error(*one.exchange, kernel::error_kind::not_found,
                             "no organisation has this name");
    respond_json(*one.exchange, 200, config::write_organisation(found->second));
}

void admin_handler::show_services(const call& one) {
    if (const auto current = this->configuration_or_answer(one))
        respond_json(*one.exchange, 200, services_json(*current));
}

void admin_handler::show_presets(const call& one) {
    if (const auto current = this->configuration_or_answer(one))
        respond_json(*one.exchange, 200, presets_json(*current));
}

void admin_handler::show_preset_in_force(const call& one) {
    if (const auto current = this->configuration_or_answer(one))
        respond_json(*one.exchange, 200, preset_in_force_json(*current));
}

void admin_handler::show_marks(const call& one) {
    if (const auto current = this->configuration_or_answer(one))
        respond_json(*one.exchange, 200, marks_json(*current));
}

void admin_handler::show_mark_of_data_centre(const call& one) {
    if (const auto current = this->configuration_or_answer(one))
        respond_mark(*one.exchange, current->data_centre_marks, one.name, current->version);
}

void admin_handler::show_mark_of_vm(const call& one) {
    if (const auto current = this->configuration_or_answer(one))
        respond_mark(*one.exchange, current->vm_marks, one.name, current->version);
}

void admin_handler::show_configuration(const call& one) {
    if (const auto current = this->configuration_or_answer(one))
        respond_json(*one.exchange, 200, config::export_configuration(*current));
}

void admin_handler::show_metrics(const call& one) {
    one.exchange->respond(200, {{"content-type", "text/plain; version=0.0.4"}},
                          this->context.metrics.prometheus_text());
}

void admin_handler::check_configuration(const call& one) {
    auto parsed = config::import_configuration(one.exchange->request().body);
    auto faults = std::move(parsed.faults);
    if (parsed.value)
        faults = config::check(*parsed.value);
    constexpr int invalid_status = 422;
    respond_json(*one.exchange, faults.empty() ? 200 : invalid_status, check_json(faults));
}

void admin_handler::change(const call& one) {
    const auto request = one.exchange->request();
    auto input = one.read_change(request.body, one.name);
    if (const auto fault = read_query(request.query, input))
        return respond_error(*one.exchange, kernel::error_kind::bad_request, *fault);
    const auto current = this->context.configuration.current();
    const auto before = current == nullptr ? 0 : current->version;
    config::change_request wanted;
    wanted.if_version = input.if_version.value_or(0);
    wanted.request_id = input.request_id ? *input.request_id : this->make_request_id();
    wanted.operator_name = one.caller.name;
    const auto finish = [this, one, before, wanted](const config::change_result& result) {
        this->audit(one, wanted, before, result);
        const auto answer = answer_change(result, wanted.request_id);
        respond_json(*one.exchange, answer.http_status, answer.body);
    };
    if (!input.body)
        return finish({config::change_status::invalid, before, std::move(input.faults)});
    // Set after the closure took its copy: the audit needs no body.
    auto full = wanted;
    full.body = std::move(*input.body);
    this->context.configuration.change(std::move(full), finish);
}

std::string admin_handler::make_request_id() {
    return "router-" + std::to_string(this->context.random.next());
}

void admin_handler::audit(const call& one, const config::change_request& wanted,
                          config::configuration_version before,
                          const config::change_result& result) {
    const auto request = one.exchange->request();
    this->context.events.write(
        kernel::severity::info, "admin.change", {},
        {{"who", wanted.operator_name},
         {"what", std::string(request.method) + " " + std::string(request.path)},
         {"request_id", wanted.request_id},
         {"if_version", wanted.if_version},
         {"from_version", before},
         {"to_version", result.version},
         {"result", std::string(to_string(result.status))},
         {"faults", std::uint64_t{result.faults.size()}}});
}

} // namespace samphirespool::admin
