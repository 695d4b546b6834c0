// Tests of the log: one line per event for any content, order by hybrid time, messages of glog, and
// limits of a line's size.
#include "debug/json_log.hpp"

#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <glog/logging.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace samphirespool;

namespace {

class log_file {
public:
    log_file() {
        const auto descriptor = ::mkstemp(this->path.data());
        REQUIRE(descriptor >= 0);
        ::close(descriptor);
        this->sink = this->open();
        REQUIRE(this->sink);
    }
    ~log_file() { ::unlink(this->path.c_str()); }

    std::unique_ptr<debug::json_log> open() {
        kernel::error reason;
        return debug::json_log::open({"r1", this->path}, this->hybrid, this->time, reason);
    }

    std::vector<nlohmann::json> lines() const {
        std::vector<nlohmann::json> result;
        std::ifstream file(this->path);
        std::string line;
        while (std::getline(file, line))
            result.push_back(nlohmann::json::parse(line));
        return result;
    }

    std::string path = std::filesystem::temp_directory_path() / "samphirespool-log-XXXXXX";
    kernel::manual_clock time;
    kernel::hybrid_clock hybrid{time};
    std::unique_ptr<debug::json_log> sink;
};

} // namespace

TEST_CASE("an event is written as one JSON line for any content") {
    log_file log;
    const std::string untrusted = std::string("a\n\"}\\\r\x01\xff\xe2\x80\xa8") + '\0' + "z\u00e9";
    const helpers::request_id request{{0xabc}, {2}, 255};
    log.sink->write(kernel::severity::info, "request.sent", request,
                    {{"text", untrusted},
                     {"count", std::int64_t{-3}},
                     {"big", std::uint64_t{18446744073709551615ULL}},
                     {"share", 0.25},
                     {"none", 0.0 / 0.0},
                     {"flag", true}});
    const auto lines = log.lines();
    REQUIRE(lines.size() == 1);
    const auto& line = lines.front();
    CHECK(line.at("process") == "r1");
    CHECK(line.at("level") == "info");
    CHECK(line.at("event") == "request.sent");
    CHECK(line.at("request") == "0000000000000abc-2-ff");
    const auto& fields = line.at("fields");
    CHECK(fields.at("text") == std::string("a\n\"}\\\r\x01\uFFFD\xe2\x80\xa8") + '\0' + "z\u00e9");
    CHECK(fields.at("count") == -3);
    CHECK(fields.at("big") == 18446744073709551615ULL);
    CHECK(fields.at("share") == 0.25);
    CHECK(fields.at("none").is_null());
    CHECK(fields.at("flag") == true);
}

TEST_CASE("lines have increasing hybrid times and levels below the minimum are not written") {
    log_file log;
    log.sink->write(kernel::severity::debug, "hidden", {}, {});
    log.sink->write(kernel::severity::info, "first", {}, {});
    log.sink->write(kernel::severity::error, "second", {}, {});
    log.time.advance(std::chrono::milliseconds(5));
    log.sink->write(kernel::severity::info, "third", {}, {});
    const auto lines = log.lines();
    REQUIRE(lines.size() == 3);
    CHECK(lines[0].at("event") == "first");
    CHECK(lines[0].at("logical") < lines[1].at("logical"));
    CHECK(lines[2].at("hybrid") == 5);
    CHECK(lines[2].at("wall") == 5);
    CHECK_FALSE(lines[2].contains("request"));
}

TEST_CASE("messages of glog are written as JSON lines to the same file") {
    log_file log;
    LOG(WARNING) << "two\nlines";
    const auto lines = log.lines();
    REQUIRE(lines.size() == 1);
    CHECK(lines[0].at("event") == "glog.message");
    CHECK(lines[0].at("level") == "warning");
    CHECK(lines[0].at("fields").at("message") == "two\nlines");
}

TEST_CASE(
    "an oversized event is written as one line of limited size that counts the dropped fields") {
    log_file log;
    const std::string huge(100'000, '\x01');
    log.sink->write(kernel::severity::info, "huge", {},
                    {{"a", huge}, {"b", huge}, {"c", std::int64_t{7}}});
    const auto lines = log.lines();
    REQUIRE(lines.size() == 1);
    CHECK(lines[0].dump().size() < 30'000);
    CHECK(lines[0].at("fields").at("a").get<std::string>().size() ==
          debug::json_log::max_text_bytes + 3);
    CHECK_FALSE(lines[0].at("fields").contains("b"));
    CHECK(lines[0].at("fields").at("c") == 7);
    CHECK(lines[0].at("dropped_fields") == 1);
}

TEST_CASE("opening the log fails if its file cannot be opened, and lost lines are counted") {
    kernel::manual_clock time;
    kernel::hybrid_clock hybrid(time);
    kernel::error reason;
    CHECK_FALSE(debug::json_log::open({"r1", "/nonexistent/log"}, hybrid, time, reason));
    CHECK(reason.detail.find("/nonexistent/log") != std::string::npos);
    const auto full = debug::json_log::open({"r1", "/dev/full"}, hybrid, time, reason);
    REQUIRE(full);
    full->write(kernel::severity::info, "lost", {}, {});
    CHECK(full->lost_lines() == 1);
}
