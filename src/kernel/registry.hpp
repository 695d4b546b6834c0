// Registry of plug-ins by name. A plug-in registers itself with a static registration object in
// its own .cpp; the kernel names none of them.
#pragma once

#include "kernel/plug_in_names.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace samphirespool::kernel {

template <class Interface, class... Args>
class registry {
public:
    using factory = std::function<std::unique_ptr<Interface>(Args...)>;

    static registry& instance() {
        static registry only;
        return only;
    }

    // An interface with a plug_in_kind has its names in plug_in_names() as well.
    void add(std::string_view name, factory make) {
        if constexpr (requires { Interface::plug_in_kind; })
            add_plug_in_name(Interface::plug_in_kind, name);
        this->factories.insert_or_assign(std::string(name), std::move(make));
    }

    // Returns null if no plug-in has the name.
    std::unique_ptr<Interface> make(std::string_view name, Args... args) const {
        const auto found = this->factories.find(std::string(name));
        return found == this->factories.end() ? nullptr
                                              : found->second(std::forward<Args>(args)...);
    }

    std::vector<std::string> names() const {
        std::vector<std::string> result;
        for (const auto& [name, make] : this->factories)
            result.push_back(name);
        return result;
    }

private:
    std::map<std::string, factory> factories;
};

template <class Registry>
struct registration {
    registration(std::string_view name, typename Registry::factory make) {
        Registry::instance().add(name, std::move(make));
    }
};

} // namespace samphirespool::kernel
