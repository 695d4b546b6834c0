// Tests of the time line: causal order over processes, damaged logs, and an HTML page that log
// content cannot break.
#include "debug/timeline.hpp"

#include <array>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace samphirespool;

namespace {

std::string line(std::string_view process, std::int64_t hybrid, int logical,
                 std::string_view event) {
    const nlohmann::json object{{"wall", hybrid},    {"hybrid", hybrid},   {"logical", logical},
                                {"level", "info"},   {"process", process}, {"event", event},
                                {"request", "1-2-3"}};
    return object.dump() + "\n";
}

std::string events(const debug::timeline& merged) {
    std::string names;
    for (const auto& entry : merged.entries)
        names.append(entry.event + " ");
    return names;
}

} // namespace

TEST_CASE("logs merge by hybrid time and keep the order within a process") {
    const auto a =
        line("a", 10, 0, "sent") + line("a", 12, 3, "answered") + line("a", 12, 3, "again");
    const auto b = line("b", 10, 1, "received") + line("b", 12, 2, "worked");
    const std::array<debug::log_text, 2> logs{{{"b.log", b}, {"a.log", a}}};
    const auto merged = debug::merge_logs(logs);
    CHECK(events(merged) == "sent received worked answered again ");
    const auto text = debug::timeline_text(merged);
    CHECK(text.find("1970-01-01T00:00:00.012Z+3 a info answered 1-2-3\n") != std::string::npos);
}

TEST_CASE("damaged and foreign lines are counted and do not affect other lines") {
    const auto whole = line("a", 5, 0, "whole");
    const std::string log =
        whole.substr(0, 20) + "\n" + "plain text\n" + "[1]\n\n" +
        R"({"hybrid":1,"logical":0,"process":"a"})" + "\n" +
        R"({"hybrid":"x","logical":0,"process":"a","event":"e"})" + "\n" +
        R"({"hybrid":7,"logical":-1,"process":"a","event":"e"})" + "\n" + whole +
        R"({"hybrid":4,"logical":0,"process":"a","event":"early","extra":[1],"fields":{"n":2}})" +
        "\n" + whole.substr(0, 30);
    const std::array<debug::log_text, 1> logs{{{"a.log", log}}};
    const auto merged = debug::merge_logs(logs);
    CHECK(events(merged) == "early whole ");
    CHECK(merged.entries.front().fields == R"({"extra":[1],"n":2})");
    const auto& statistics = merged.sources.front();
    CHECK(statistics.lines == 9);
    CHECK(statistics.events == 2);
    CHECK(statistics.unreadable == 4);
    CHECK(statistics.incomplete == 3);
    CHECK(statistics.with_unknown_members == 1);
    CHECK(statistics.backwards == 1);
    CHECK(debug::timeline_text(merged).find("# a.log: 9 lines, 2 events, 4 unreadable, 3 "
                                            "incomplete, 1 with unknown members, 1 backwards") !=
          std::string::npos);
}

TEST_CASE(
    "the HTML page contains the events as data, has no external references and escapes content") {
    const auto log = line("a</script><b>", 5, 0, "</script><script>alert(1)</script>");
    const std::array<debug::log_text, 1> logs{{{"<log>", log}}};
    const auto page = debug::timeline_html(debug::merge_logs(logs));
    const std::string start_mark = "id=\"data\">";
    const auto start = page.find(start_mark) + start_mark.size();
    const auto end = page.find("</script>", start);
    const auto data = nlohmann::json::parse(page.substr(start, end - start));
    CHECK(data.at("events").size() == 1);
    CHECK(data.at("events")[0].at("event") == "</script><script>alert(1)</script>");
    CHECK(data.at("sources")[0].at("log") == "<log>");
    for (const auto* outside : {"http:", "https:", "src=", "href=", "@import", "url("})
        CHECK_MESSAGE(page.find(outside) == std::string::npos, outside);
    CHECK(page.find("alert(1)") == page.rfind("alert(1)"));
}
