// Reading and writing of whole files.
#include "apps/ctl/files.hpp"

#include <fstream>
#include <iostream>
#include <iterator>

namespace samphirespool::ctl {

namespace {

std::string read_all(std::istream& from) {
    return {std::istreambuf_iterator<char>(from), {}};
}

} // namespace

std::optional<std::string> read_file(const std::string& path) {
    if (path == "-")
        return read_all(std::cin);
    std::ifstream file(path, std::ios::binary);
    if (file.good() && (file.peek(), !file.bad())) {
        file.clear();
        return read_all(file);
    }
    std::cerr << path << ": cannot be read\n";
    return std::nullopt;
}

bool write_file(const std::string& path, std::string_view content) {
    std::ofstream file(path, std::ios::binary);
    file << content;
    file.close();
    if (file.good())
        return true;
    std::cerr << path << ": cannot be written\n";
    return false;
}

} // namespace samphirespool::ctl
