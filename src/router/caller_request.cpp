// Parses headers and body of a caller's request.
#include "router/caller_request.hpp"

#include "placement/chat_key.hpp"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

namespace samphirespool::router {

namespace {

using kernel::error_kind;

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view bearer_scheme = "Bearer ";
constexpr std::string_view priority_names[] = {"high", "normal", "low"};
constexpr std::size_t max_idempotency_key_bytes = 256;
// Rough estimate for the prompt, from the size of the body.
constexpr std::uint64_t bytes_per_token = 4;
constexpr std::uint64_t default_response_tokens = 256;
constexpr std::uint64_t max_cost_tokens = 10'000'000;

std::string_view header(const http::server_request& request, std::string_view name) {
    return http::find_header(request.headers, name).value_or(std::string_view());
}

bool parse_priority(std::string_view text, request_priority& priority) {
    if (text.empty())
        return true;
    const auto* name = std::find(std::begin(priority_names), std::end(priority_names), text);
    if (name == std::end(priority_names))
        return false;
    priority = static_cast<request_priority>(name - std::begin(priority_names));
    return true;
}

// Returns nullopt if the text is not a positive whole number.
std::optional<helpers::duration> parse_milliseconds(std::string_view text) {
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size() || number <= 0)
        return std::nullopt;
    return std::chrono::milliseconds(std::min<std::int64_t>(number, std::int64_t{1} << 40));
}

std::uint32_t cost_of(const http::server_request& request, const chat_body& chat) {
    const auto response_tokens = chat.max_tokens == 0 ? default_response_tokens : chat.max_tokens;
    const auto total =
        request.body.size() / bytes_per_token + std::min(response_tokens, max_cost_tokens);
    return static_cast<std::uint32_t>(std::clamp<std::uint64_t>(total, 1, max_cost_tokens));
}

// Each step returns false and sets `reason` if the request cannot be served.
class request_parser {
public:
    request_parser(const http::server_request& request, caller_request& result,
                   kernel::error& reason)
        : request(request), result(result), reason(reason) {}

    bool parse(const kernel::clock& time, helpers::duration max_deadline) {
        return this->parse_organisation() && this->parse_service() &&
               this->parse_deadline(time, max_deadline) && this->parse_options();
    }

    bool judge_head() {
        if (!this->parse_organisation())
            return false;
        return this->request.path == chat_path
                   ? this->request.method == "POST" ||
                         this->fail(error_kind::bad_request, "chat completions require POST")
                   : this->parse_service();
    }

private:
    bool fail(error_kind kind, std::string detail) {
        this->reason = {kind, std::move(detail)};
        return false;
    }

    bool parse_organisation() {
        const auto authorization = header(this->request, "authorization");
        if (!authorization.starts_with(bearer_scheme))
            return this->fail(error_kind::unauthorized, "an API key is required");
        const auto* organisation =
            this->result.index->organisation_by_key(authorization.substr(bearer_scheme.size()));
        if (organisation == nullptr)
            return this->fail(error_kind::unauthorized, "the API key is unknown");
        this->result.organisation = *organisation;
        return true;
    }

    bool parse_service() {
        this->result.is_chat = this->request.path == chat_path;
        if (this->result.is_chat)
            return this->parse_chat();
        const auto* service = this->result.index->service_by_path(this->request.path);
        if (service == nullptr)
            return this->fail(error_kind::unknown_service, "no service serves this path");
        this->result.service = *service;
        this->result.chat = placement::make_chat_key(header(this->request, "x-chat-key"),
                                                     this->result.organisation.id, "", {});
        this->result.non_idempotent =
            is_non_idempotent(*service->definition, this->request.method, this->request.path);
        return true;
    }

    bool parse_chat() {
        if (this->request.method != "POST")
            return this->fail(error_kind::bad_request, "chat completions require POST");
        const auto chat = parse_chat_body(this->request.body);
        if (!chat)
            return this->fail(error_kind::bad_request, "the body is not a JSON object");
        const auto* service = this->result.index->service_by_model(chat->model);
        if (service == nullptr)
            return this->fail(error_kind::unknown_service, "no service serves this model");
        this->result.service = *service;
        this->result.stream = chat->stream;
        this->result.is_deterministic = chat->is_deterministic;
        this->result.cost_tokens = cost_of(this->request, *chat);
        const auto name = header(this->request, "x-chat-key");
        const auto organisation = this->result.organisation.id;
        const std::vector<std::string_view> opening(chat->opening_messages.begin(),
                                                    chat->opening_messages.end());
        this->result.shared_prefix =
            placement::make_chat_key({}, organisation, chat->model, opening);
        this->result.has_named_chat = !name.empty();
        this->result.chat =
            name.empty() ? this->result.shared_prefix
                         : placement::make_chat_key(name, organisation, chat->model, opening);
        return true;
    }

    bool parse_deadline(const kernel::clock& time, helpers::duration max_deadline) {
        auto allowed = this->result.service.definition->default_deadline;
        const auto requested = header(this->request, "x-deadline-ms");
        if (!requested.empty()) {
            const auto parsed = parse_milliseconds(requested);
            if (!parsed)
                return this->fail(error_kind::bad_request,
                                  "x-deadline-ms must be a positive number of milliseconds");
            allowed = *parsed;
        }
        this->result.deadline = time.now() + std::min(allowed, max_deadline);
        return true;
    }

    bool parse_options() {
        if (!parse_priority(header(this->request, "x-priority"), this->result.priority))
            return this->fail(error_kind::bad_request, "x-priority must be high, normal or low");
        this->result.idempotency_key = header(this->request, "idempotency-key");
        if (this->result.idempotency_key.size() > max_idempotency_key_bytes)
            return this->fail(error_kind::bad_request, "idempotency-key is longer than 256 bytes");
        return true;
    }

    const http::server_request& request;
    caller_request& result;
    kernel::error& reason;
};

} // namespace

std::string_view to_string(request_priority priority) {
    return priority_names[static_cast<std::size_t>(priority)];
}

std::optional<kernel::error> judge_head(const http::server_request& head,
                                        std::shared_ptr<const configuration_index> index) {
    caller_request result;
    result.index = std::move(index);
    kernel::error reason;
    if (request_parser(head, result, reason).judge_head())
        return std::nullopt;
    return reason;
}

std::optional<caller_request> parse_caller_request(const http::server_request& request,
                                                   std::shared_ptr<const configuration_index> index,
                                                   const kernel::clock& time,
                                                   helpers::duration max_deadline,
                                                   kernel::error& reason) {
    caller_request result;
    result.index = std::move(index);
    request_parser parser(request, result, reason);
    if (!parser.parse(time, max_deadline))
        return std::nullopt;
    return result;
}

} // namespace samphirespool::router
