// A server that responds to its only connection with a fixed start and then the same bytes again
// and again, until the client closes the connection.
#pragma once

#include "http/socket_address.hpp"

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

namespace samphirespool::tests {

class endless_server {
public:
    // Ends the connection after `max_bytes`, so that a client that reads on does not hang the test.
    endless_server(std::string start, std::string repeated, std::size_t max_bytes)
        : start(std::move(start)), repeated(std::move(repeated)), max_bytes(max_bytes) {
        auto address = http::socket_address::of({"127.0.0.1", 0});
        this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        REQUIRE(bind(this->listener, address.get(), address.size()) == 0);
        REQUIRE(listen(this->listener, 1) == 0);
        sockaddr_in bound{};
        socklen_t size = sizeof(bound);
        REQUIRE(getsockname(this->listener, reinterpret_cast<sockaddr*>(&bound), &size) == 0);
        this->bound_port = ntohs(bound.sin_port);
        this->worker = std::thread([this] { this->run(); });
    }
    ~endless_server() {
        shutdown(this->listener, SHUT_RDWR);
        this->worker.join();
        close(this->listener);
    }
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;

    std::uint16_t port() const { return this->bound_port; }
    // The client has closed the connection before max_bytes.
    bool was_closed() const { return this->closed; }

private:
    static constexpr auto pause = std::chrono::microseconds(100);

    void run() {
        const int connection = accept(this->listener, nullptr, nullptr);
        if (connection < 0)
            return;
        char request[4096];
        recv(connection, request, sizeof(request), 0);
        std::size_t sent = 0;
        std::string_view next = this->start;
        while (sent < this->max_bytes) {
            const auto count = send(connection, next.data(), next.size(), MSG_NOSIGNAL);
            if (count < 0) {
                this->closed = true;
                break;
            }
            sent += static_cast<std::size_t>(count);
            next.remove_prefix(static_cast<std::size_t>(count));
            if (next.empty())
                next = this->repeated;
            // Leaves the client time to reach its time limits.
            std::this_thread::sleep_for(pause);
        }
        close(connection);
    }

    std::string start;
    std::string repeated;
    std::size_t max_bytes;
    int listener = -1;
    std::uint16_t bound_port = 0;
    std::atomic<bool> closed = false;
    std::thread worker;
};

} // namespace samphirespool::tests
