// Reads from duplicates of the descriptors until their peers have closed or the time is up.
#include "http/lingering_close.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>

namespace samphirespool::http {

namespace {

// A caller that is still sending may need this time before it reads the response.
constexpr auto linger_time = std::chrono::seconds(10);
// A caller that sends nothing more has had this time to read it.
constexpr auto silent_time = std::chrono::seconds(2);
constexpr auto sweep_interval = std::chrono::milliseconds(10);
// The largest rest of a request that is discarded.
constexpr std::size_t max_discarded = std::size_t{16} << 20;
constexpr int max_reads_per_sweep = 8;

enum class discard_result : std::uint8_t {
    nothing,
    some,
    // The peer has closed the connection, it has failed, or `left` is used up.
    ended,
};

// Discards received data, at most `left` bytes.
discard_result discard(int descriptor, std::size_t& left) {
    char buffer[65536];
    for (int i = 0; i < max_reads_per_sweep; ++i) {
        const auto count = recv(descriptor, buffer, sizeof(buffer), MSG_DONTWAIT);
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
            return i == 0 ? discard_result::nothing : discard_result::some;
        if (count <= 0 || static_cast<std::size_t>(count) >= left)
            return discard_result::ended;
        left -= static_cast<std::size_t>(count);
    }
    return discard_result::some;
}

} // namespace

lingering_close::~lingering_close() {
    this->loop.cancel(this->timer);
    for (const auto& each : this->open)
        close(each.descriptor);
}

void lingering_close::linger(int descriptor) {
    if (this->open.size() >= this->max_open)
        return;
    const int copy = dup(descriptor);
    if (copy < 0)
        return;
    if (static_cast<std::size_t>(copy) >= this->reserved_from) {
        close(copy);
        return;
    }
    const auto now = this->loop.time().now();
    this->open.push_back({copy, now + linger_time, now + silent_time, max_discarded});
    if (this->timer == 0)
        this->timer = this->loop.schedule(sweep_interval, [this] { this->sweep(); });
}

void lingering_close::sweep() {
    this->timer = 0;
    const auto now = this->loop.time().now();
    for (auto each = this->open.begin(); each != this->open.end();) {
        shutdown(each->descriptor, SHUT_WR);
        const auto result = discard(each->descriptor, each->left);
        if (result == discard_result::some)
            each->silent_until = now + silent_time;
        if (result != discard_result::ended && now < std::min(each->until, each->silent_until)) {
            ++each;
            continue;
        }
        close(each->descriptor);
        each = this->open.erase(each);
    }
    if (!this->open.empty())
        this->timer = this->loop.schedule(sweep_interval, [this] { this->sweep(); });
}

} // namespace samphirespool::http
