// A stand-in for a plain service. It executes bookings and counts the executions of each
// idempotency key.
#include "standins/common/standin_main.hpp"

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
            this->respond_json(*incoming, 200,
                               {{"incarnation", this->incarnation},
                                {"in_flight", this->in_flight},
                                {"queued", 0},
                                {"outstanding_tokens", 0},
                                {"generation", this->handled}});
        else if (request.path == "/control/counters")
            this->respond_json(*incoming, 200,
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
    void respond_json(http::exchange& incoming, int status, const json& body) const {
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
        this->respond_json(incoming, 200, json::object());
    }

    // A booking is executed at once; only its response is delayed.
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
        std::shared_ptr<http::exchange> keep_alive = std::move(incoming);
        this->loop.schedule(this->delay, [this, keep_alive] {
            --this->in_flight;
            const auto request = keep_alive->request();
            this->respond_json(
                *keep_alive, 200,
                {{"method", request.method}, {"path", request.path}, {"number", this->bookings}});
        });
    }

    // Faults: error responds with 500; hang never responds; any other one, such as lost_answer,
    // breaks the connection after the work was done.
    void fail(std::unique_ptr<http::exchange> incoming) {
        if (this->fault == "error")
            this->respond_json(*incoming, 500, {{"error", "fault by control"}});
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
    int option_letter = 0;
    while ((option_letter = getopt_long(argc, argv, "", long_options.data(), nullptr)) != -1) {
        if (option_letter == 'n')
            common.name = optarg;
        else if (option_letter == 'd')
            delay = std::chrono::milliseconds(standins::to_number(optarg));
        else if (option_letter != 'l' || !standins::set_listen(common, optarg)) {
            std::fputs(usage, option_letter == 'h' ? stdout : stderr);
            return option_letter == 'h' ? EXIT_SUCCESS : EXIT_FAILURE;
        }
    }
    http::event_loop loop;
    service served(loop, common.name, delay);
    return standins::serve(loop, common, [&served](std::unique_ptr<http::exchange> incoming) {
        served.handle(std::move(incoming));
    });
}
