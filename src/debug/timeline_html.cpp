// The time line as one HTML page: the events as JSON data and a script that draws a table with one
// column per process.
#include "debug/timeline.hpp"

#include "debug/json_line.hpp"

namespace samphirespool::debug {

namespace {

constexpr std::string_view page_head = R"html(<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Time line</title>
<style>
body { font: 13px sans-serif; margin: 1em; }
table { border-collapse: collapse; width: 100%; }
th { position: sticky; top: 0; background: #eee; text-align: left; }
th, td { border-left: 1px solid #ccc; padding: 1px 6px; vertical-align: top; }
td.time { font-family: monospace; white-space: nowrap; }
tr.warning { background: #fff3cd; }
tr.error { background: #f8d7da; }
tr.same { outline: 2px solid #36c; }
.request { color: #36c; cursor: pointer; font-family: monospace; }
.fields { color: #555; font-family: monospace; word-break: break-all; }
#controls { margin-bottom: 1em; }
</style>
</head>
<body>
<h1>Time line</h1>
<div id="controls">
<input id="filter" size="50" placeholder="Show events that contain this text">
<button id="previous">Previous</button> <span id="place"></span> <button id="next">Next</button>
</div>
<table><thead><tr id="lanes"></tr></thead><tbody id="rows"></tbody></table>
<h2>Logs</h2>
<table><tbody id="sources"></tbody></table>
<script type="application/json" id="data">)html";

constexpr std::string_view page_tail = R"html(</script>
<script>
"use strict";
const data = JSON.parse(document.getElementById("data").textContent);
const pageLength = 500;
const processes = [...new Set(data.events.map(e => e.process))].sort();
const rows = document.getElementById("rows");
const filter = document.getElementById("filter");
let shown = data.events;
let first = 0;
function cell(row, text, kind) {
  const element = document.createElement(row.id === "lanes" ? "th" : "td");
  element.textContent = text;
  if (kind) element.className = kind;
  row.appendChild(element);
  return element;
}
function part(parent, text, kind) {
  const element = document.createElement("div");
  element.textContent = text;
  element.className = kind;
  parent.appendChild(element);
  return element;
}
function addRow(event) {
  const row = document.createElement("tr");
  row.className = event.level;
  cell(row, new Date(event.hybrid).toISOString() + " +" + event.logical, "time");
  for (const process of processes) {
    const lane = cell(row, "", "");
    if (process !== event.process) continue;
    part(lane, event.event, "event");
    if (event.request) {
      const request = part(lane, event.request, "request");
      request.title = "Show this request only";
      request.onclick = () => { filter.value = event.request; select(); };
    }
    const fields = JSON.stringify(event.fields);
    if (fields !== "{}") part(lane, fields, "fields");
  }
  rows.appendChild(row);
}
function draw() {
  rows.textContent = "";
  const last = Math.min(first + pageLength, shown.length);
  for (const event of shown.slice(first, last)) addRow(event);
  document.getElementById("place").textContent =
    shown.length === 0 ? "no events" : (first + 1) + " to " + last + " of " + shown.length;
}
function select() {
  const text = filter.value;
  shown = text === "" ? data.events : data.events.filter(e => JSON.stringify(e).includes(text));
  first = 0;
  draw();
}
function changePage(step) {
  const newFirst = first + step * pageLength;
  if (newFirst >= 0 && newFirst < shown.length) first = newFirst;
  draw();
}
const lanes = document.getElementById("lanes");
cell(lanes, "time (UTC)", "time");
for (const process of processes) cell(lanes, process, "");
for (const source of data.sources) {
  const row = document.createElement("tr");
  for (const [name, value] of Object.entries(source)) cell(row, name + ": " + value, "");
  document.getElementById("sources").appendChild(row);
}
filter.oninput = select;
document.getElementById("previous").onclick = () => changePage(-1);
document.getElementById("next").onclick = () => changePage(1);
draw();
</script>
</body>
</html>
)html";

// Escapes "<" so that content cannot end the script element. In JSON "<" occurs in strings only.
std::string escape_angle_brackets(std::string_view json) {
    std::string result;
    result.reserve(json.size());
    for (const char character : json) {
        if (character == '<')
            result.append("\\u003c");
        else
            result.push_back(character);
    }
    return result;
}

std::string event_json(const timeline_entry& entry) {
    json_line line;
    line.add("hybrid", entry.time.wall);
    line.add("logical", std::uint64_t{entry.time.logical});
    line.add("level", entry.level);
    line.add("process", entry.process);
    line.add("event", entry.event);
    line.add("request", entry.request);
    auto text = line.finish();
    text.resize(text.rfind('}'));
    return text + ",\"fields\":" + entry.fields + "}";
}

std::string statistics_json(const log_statistics& statistics) {
    json_line line;
    line.add("log", statistics.name);
    line.add("lines", std::uint64_t{statistics.lines});
    line.add("events", std::uint64_t{statistics.events});
    line.add("unreadable", std::uint64_t{statistics.unreadable});
    line.add("incomplete", std::uint64_t{statistics.incomplete});
    line.add("with unknown members", std::uint64_t{statistics.with_unknown_members});
    line.add("backwards", std::uint64_t{statistics.backwards});
    return line.finish();
}

template <class Item>
std::string array_json(const std::vector<Item>& items, std::string (*to_json)(const Item&)) {
    std::string result = "[";
    for (const auto& item : items) {
        if (result.size() > 1)
            result.append(",\n");
        result.append(to_json(item));
    }
    return result + "]";
}

} // namespace

std::string timeline_html(const timeline& merged) {
    const auto data = "{\"events\":" + array_json(merged.entries, event_json) +
                      ",\"sources\":" + array_json(merged.sources, statistics_json) + "}";
    return std::string(page_head) + escape_angle_brackets(data) + std::string(page_tail);
}

} // namespace samphirespool::debug
