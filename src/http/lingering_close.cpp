// Reads from duplicates of the descriptors until their peers have closed or the time is up.
#include "http/lingering_close.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace samphirespool::http {

namespace {

constexpr auto linger_time = std::chrono::seconds(2);
constexpr auto sweep_interval = std::chrono::milliseconds(10);
constexpr std::size_t max_lingering = 256;
constexpr int max_reads_per_sweep = 64;

// Discards received data. Returns whether the peer has closed the connection or it has failed.
bool discard(int descriptor) {
    char buffer[65536];
    for (int i = 0; i < max_reads_per_sweep; ++i) {
        const auto count = recv(descriptor, buffer, sizeof(buffer), MSG_DONTWAIT);
        if (count == 0)
            return true;
        if (count < 0)
            return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
    }
    return false;
}

} // namespace

lingering_close::~lingering_close() {
    this->loop.cancel(this->timer);
    for (const auto& each : this->open)
        close(each.descriptor);
}

void lingering_close::linger(int descriptor) {
    if (this->open.size() >= max_lingering)
        return;
    const int copy = dup(descriptor);
    if (copy < 0)
        return;
    this->open.push_back({copy, this->loop.time().now() + linger_time});
    if (this->timer == 0)
        this->timer = this->loop.schedule(sweep_interval, [this] { this->sweep(); });
}

void lingering_close::sweep() {
    this->timer = 0;
    const auto now = this->loop.time().now();
    for (auto each = this->open.begin(); each != this->open.end();) {
        shutdown(each->descriptor, SHUT_WR);
        if (!discard(each->descriptor) && now < each->until) {
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
