// Registry of plug-in factories by name. A plug-in registers itself with a static registration
// object in its own .cpp file, so that the kernel depends on no plug-in.
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
        static registry singleton;
        return singleton;
    }

    // Adds a factory; one with the same name is replaced. If the interface has a plug_in_kind, the
    // name is also added to plug_in_names().
    void add(std::string_view name, factory make) {
        if constexpr (requires { Interface::plug_in_kind; })
            add_plug_in_name(Interface::plug_in_kind, name);
        this->factories.insert_or_assign(std::string(name), std::move(make));
    }

    // Creates a plug-in. Returns null if the name is not registered.
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

// Registers a factory when a static object of this type is constructed, before main().
template <class Registry>
struct registration {
    registration(std::string_view name, typename Registry::factory make) {
        Registry::instance().add(name, std::move(make));
    }
};

} // namespace samphirespool::kernel
