// One call to the target's report.
#include "gateway/target_inspection.hpp"

#include <utility>

namespace samphirespool::gateway {

namespace {

constexpr int status_ok = 200;
// Lists the requests in progress, so that it grows with them.
constexpr std::size_t max_report_bytes = std::size_t{256} << 10;

} // namespace

target_inspection::target_inspection(http::client& client, const object_codec& codec,
                                     const helpers::endpoint& address,
                                     std::function<void(std::size_t)> hold, handler done)
    : codec(codec), hold(std::move(hold)), done(std::move(done)) {
    http::client_request request;
    request.to = address;
    request.path = codec.target_report_path();
    request.connect_timeout = timeout;
    request.first_byte_timeout = timeout;
    request.idle_timeout = timeout;
    request.max_body_bytes = max_report_bytes;
    this->call = client.start(request, *this);
}

void target_inspection::on_body(std::span<const char> data) {
    this->body.append(data.data(), data.size());
    this->hold(this->body.capacity());
}

void target_inspection::on_done() {
    this->finish(this->status == status_ok ? this->codec.read_target_start(this->body)
                                           : std::nullopt);
}

void target_inspection::finish(std::optional<std::int64_t> started_at) {
    if (const auto task = std::exchange(this->done, nullptr))
        task(started_at);
}

} // namespace samphirespool::gateway
