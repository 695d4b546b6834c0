// A stand-in plain service: bookings that count their executions by idempotency key.
#include "standins/common/listen_option.hpp"

#include <getopt.h>
#include <nlohmann/json.hpp>

#include <array>
#include <map>

using namespace samphirespool;
using nlohmann::json;

namespace {

constexpr auto usage = R"(usage: standin-service [--listen IP:PORT] [--name NAME] [--delay-ms N]
)";

constexpr std::array<option, 5> long_options{{
    {"listen", required_argument, nullptr, 'l'},
    {"name", required_argument, nullptr, 'n'},
    {"delay-ms", required_argument, nullptr, 'd'},
    {"help", no_argument, nullptr, 'h'},
    {nullptr, 0, nullptr, 0},
}};

class service {
public:
    service(kernel::loop& loop, std::string name, helpers::duration delay)
        : loop(loop),
          name(std::move(name)),
          delay(delay),
          incarnation(static_cast<std::uint64_t>(loop.time().wall())) {}

    void handle(std::unique_ptr<http::exchange> incoming) {
        const auto request = incoming->request();
        if (request.path == "/load")
            this->answer(*incoming, 200,
                         {{"incarnation", this->incarnation},
                          {"in_flight", this->in_flight},
                          {"queued", 0},
                          {"outstanding_tokens", 0},
                          {"generation", this->handled}});
        else if (request.path == "/control/counters")
            this->answer(*incoming, 200,
                         {{"name", this->name},
                          {"handled", this->handled},
                          {"bookings", this->bookings},
                          {"executions", this->executions}});
        else if (request.path == "/control/faults")
            this->set_fault(*incoming);
        else
            this->work(std::move(incoming));
    }

private:
    void answer(http::exchange& incoming, int status, const json& body) const {
        http::header_list headers{{"content-type", "application/json"}};
        if (const auto id = http::find_header(incoming.request().headers, "x-request-id"))
            headers.push_back({"x-request-id", std::string(*id)});
        incoming.respond(status, std::move(headers), body.dump());
    }

    void set_fault(http::exchange& incoming) {
        const auto wanted = json::parse(incoming.request().body, nullptr, false);
        this->fault = wanted.is_object() ? wanted.value("fault", "none") : "none";
        this->fault_count =
            wanted.is_object() ? wanted.value("count", std::uint64_t{1}) : std::uint64_t{0};
        this->answer(incoming, 200, json::object());
    }

    // A booking runs at once; only its answer is delayed.
    void work(std::unique_ptr<http::exchange> incoming) {
        const auto request = incoming->request();
        ++this->handled;
        if (request.method == "POST" && request.path == "/bookings") {
            ++this->bookings;
            const auto key = http::find_header(request.headers, "idempotency-key").value_or("");
            ++this->executions[std::string(key)];
        }
        if (this->fault_count > 0 && this->fault != "none") {
            --this->fault_count;
            this->fail(std::move(incoming));
            return;
        }
        ++this->in_flight;
        std::shared_ptr<http::exchange> held = std::move(incoming);
        this->loop.schedule(this->delay, [this, held] {
            --this->in_flight;
            const auto request = held->request();
            this->answer(
                *held, 200,
                {{"method", request.method}, {"path", request.path}, {"number", this->bookings}});
        });
    }

    // lost_answer: the work was done, the connection breaks. error: 500. hang: silence.
    void fail(std::unique_ptr<http::exchange> incoming) {
        if (this->fault == "error")
            this->answer(*incoming, 500, {{"error", "fault by control"}});
        else if (this->fault == "hang")
            this->silent.push_back(std::move(incoming));
        else
            incoming->begin(200, {});
    }

    kernel::loop& loop;
    std::string name;
    helpers::duration delay;
    std::uint64_t incarnation;
    std::uint64_t in_flight = 0;
    std::uint64_t handled = 0;
    std::uint64_t bookings = 0;
    std::map<std::string, std::uint64_t> executions;
    std::string fault = "none";
    std::uint64_t fault_count = 0;
    std::vector<std::unique_ptr<http::exchange>> silent;
};

} // namespace

int main(int argc, char** argv) {
    standins::common_options common;
    helpers::duration delay{};
    int letter = 0;
    while ((letter = getopt_long(argc, argv, "", long_options.data(), nullptr)) != -1) {
        if (letter == 'n')
            common.name = optarg;
        else if (letter == 'd')
            delay = std::chrono::milliseconds(standins::to_number(optarg));
        else if (letter != 'l' || !standins::set_listen(common, optarg)) {
            std::fputs(usage, letter == 'h' ? stdout : stderr);
            return letter == 'h' ? EXIT_SUCCESS : EXIT_FAILURE;
        }
    }
    http::event_loop loop;
    service served(loop, common.name, delay);
    return standins::serve(loop, common, [&served](std::unique_ptr<http::exchange> incoming) {
        served.handle(std::move(incoming));
    });
}
