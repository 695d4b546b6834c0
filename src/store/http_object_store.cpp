// Converts the store's calls to HTTP requests, and the responses to statuses.
#include "store/http_object_store.hpp"

#include "store/store_json.hpp"

#include <string>
#include <utility>

namespace samphirespool::store {

namespace {

constexpr int status_ok = 200;
constexpr int status_no_content = 204;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int first_server_error = 500;
constexpr int status_unavailable = 503;
constexpr std::size_t max_response_bytes = std::size_t{16} << 20;

std::string percent_encode(std::string_view text) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    for (const unsigned char c : text) {
        const auto is_plain = (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') ||
                              (c >= 'a' && c <= 'z') || c == '-' || c == '.' || c == '_' ||
                              c == '/';
        if (is_plain) {
            result.push_back(static_cast<char>(c));
            continue;
        }
        result.push_back('%');
        result.push_back(digits[c >> 4]);
        result.push_back(digits[c & 15]);
    }
    return result;
}

// A write that gets a malformed 200 response has taken effect, but its new version is unknown.
write_result to_write_result(int status, std::string_view body, bool maybe_sent) {
    if (status == status_ok) {
        const auto version = parse_version(body);
        return version ? write_result{store_status::ok, *version} : write_result{};
    }
    if (status == status_conflict)
        return {store_status::conflict, parse_version(body).value_or(absent)};
    if (status == status_not_found)
        return {store_status::not_found, absent};
    const auto had_no_effect = status == status_unavailable ||
                               (status > status_no_content && status < first_server_error) ||
                               (status == 0 && !maybe_sent);
    return {had_no_effect ? store_status::rejected : store_status::unknown, absent};
}

read_result to_read_result(int status, std::string_view body) {
    if (status == status_not_found || status == status_no_content)
        return {store_status::not_found, {}};
    if (status != status_ok)
        return {store_status::rejected, {}};
    auto found = parse_object(body);
    return found ? read_result{store_status::ok, std::move(*found)}
                 : read_result{store_status::rejected, {}};
}

} // namespace

// One call in progress: collects the response and reports it once.
class http_object_store::call final : public http::response_listener {
public:
    call(http_object_store& owner, std::uint64_t id, outcome_handler callback,
         bool counts_towards_limit)
        : callback(std::move(callback)),
          counts_towards_limit(counts_towards_limit),
          owner(owner),
          id(id) {}

    void on_head(int status, const http::header_list&) override { this->result.status = status; }
    void on_body(std::span<const char> data) override {
        this->result.body.append(data.data(), data.size());
    }
    void on_done() override { this->owner.finish(this->id, this->result); }
    void on_failed(const kernel::error&, bool maybe_sent) override {
        this->result.status = 0;
        this->result.maybe_sent = maybe_sent;
        this->owner.finish(this->id, this->result);
    }

    const outcome_handler callback;
    const bool counts_towards_limit;
    std::unique_ptr<http::client_call> client_call;

private:
    http_object_store& owner;
    std::uint64_t id;
    outcome result;
};

http_object_store::http_object_store(kernel::loop& loop, http::client& client,
                                     const http_store_settings& settings)
    : loop(loop), client(client), settings(settings), alive(std::make_shared<bool>(true)) {}

http_object_store::~http_object_store() = default;

http::client_request http_object_store::make_request(std::string method, std::string path) const {
    http::client_request result;
    result.to = this->settings.address;
    result.method = std::move(method);
    result.path = std::move(path);
    result.first_byte_timeout = this->settings.call_timeout;
    result.idle_timeout = this->settings.call_timeout;
    result.max_body_bytes = max_response_bytes;
    return result;
}

void http_object_store::submit(http::client_request request, outcome_handler callback) {
    if (this->concurrent_calls < this->settings.max_concurrent_calls) {
        this->start(request, std::move(callback), true);
        return;
    }
    if (this->queue.size() >= this->settings.max_queued_calls) {
        this->loop.post([callback = std::move(callback)] { callback({}); });
        return;
    }
    this->queue.push_back({std::move(request), std::move(callback)});
}

void http_object_store::start(const http::client_request& request, outcome_handler callback,
                              bool counts_towards_limit) {
    const auto id = ++this->last_id;
    auto added = std::make_unique<call>(*this, id, std::move(callback), counts_towards_limit);
    auto& listener = *added;
    this->calls.emplace(id, std::move(added));
    if (counts_towards_limit)
        ++this->concurrent_calls;
    listener.client_call = this->client.start(request, listener);
}

// Runs within a method of the call, so destroying the call and running its callback are deferred to
// the loop.
void http_object_store::finish(std::uint64_t id, const outcome& result) {
    this->loop.post([this, id, result, token = std::weak_ptr<bool>(this->alive)] {
        if (token.expired())
            return;
        const auto found = this->calls.find(id);
        const auto callback = found->second->callback;
        if (found->second->counts_towards_limit)
            --this->concurrent_calls;
        this->calls.erase(found);
        this->start_queued();
        callback(result);
    });
}

void http_object_store::start_queued() {
    while (!this->queue.empty() && this->concurrent_calls < this->settings.max_concurrent_calls) {
        auto next = std::move(this->queue.front());
        this->queue.pop_front();
        this->start(next.request, std::move(next.callback), true);
    }
}

void http_object_store::read(std::string_view key, std::function<void(read_result)> callback) {
    this->submit(this->make_request("GET", "/v1/objects/" + percent_encode(key)),
                 [callback = std::move(callback)](const outcome& result) {
                     callback(to_read_result(result.status, result.body));
                 });
}

void http_object_store::write(std::string_view key, object_version expected, std::string value,
                              std::function<void(write_result)> callback) {
    auto request = this->make_request("PUT", "/v1/objects/" + percent_encode(key) +
                                                 "?if_version=" + std::to_string(expected));
    request.body = write_put_body(value);
    request.headers = {{"content-type", "application/json"}};
    this->submit(std::move(request), [callback = std::move(callback)](const outcome& result) {
        callback(to_write_result(result.status, result.body, result.maybe_sent));
    });
}

void http_object_store::remove(std::string_view key, object_version expected,
                               std::function<void(write_result)> callback) {
    this->submit(this->make_request("DELETE", "/v1/objects/" + percent_encode(key) +
                                                  "?if_version=" + std::to_string(expected)),
                 [callback = std::move(callback)](const outcome& result) {
                     callback(to_write_result(result.status, result.body, result.maybe_sent));
                 });
}

void http_object_store::list(std::string_view prefix, std::function<void(list_result)> callback) {
    this->submit(this->make_request("GET", "/v1/objects?prefix=" + percent_encode(prefix)),
                 [callback = std::move(callback)](const outcome& result) {
                     auto objects =
                         result.status == status_ok ? parse_object_list(result.body) : std::nullopt;
                     callback(objects ? list_result{store_status::ok, std::move(*objects)}
                                      : list_result{store_status::rejected, {}});
                 });
}

void http_object_store::watch(std::string_view key, object_version after,
                              helpers::duration max_wait,
                              std::function<void(read_result)> callback) {
    const auto wait_ms = max_wait / std::chrono::milliseconds(1);
    auto request = this->make_request("GET", "/v1/watch/" + percent_encode(key) +
                                                 "?after=" + std::to_string(after) +
                                                 "&wait_ms=" + std::to_string(wait_ms));
    request.first_byte_timeout += max_wait;
    this->start(
        request,
        [callback = std::move(callback)](const outcome& result) {
            callback(to_read_result(result.status, result.body));
        },
        false);
}

void http_object_store::list_vms(std::function<void(vm_list_result)> callback) {
    this->submit(this->make_request("GET", "/v1/vms"),
                 [callback = std::move(callback)](const outcome& result) {
                     auto vms =
                         result.status == status_ok ? parse_vm_list(result.body) : std::nullopt;
                     callback(vms ? vm_list_result{store_status::ok, std::move(*vms)}
                                  : vm_list_result{store_status::rejected, {}});
                 });
}

} // namespace samphirespool::store
