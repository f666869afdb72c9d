#pragma once

#include "medlarhub/document.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarhub {

enum class vm_role { target, entry };

/// One VM of the platform's VM list, which may be out of date.
struct vm_info {
    std::string id;
    vm_role role = vm_role::target;
    std::string address; ///< HTTP address of a target, peer address of an entry VM
    std::string data_centre;
    std::string rack;
    resources capacity;
    int slots = 0;
    bool leaving = false;

    friend bool operator==(const vm_info&, const vm_info&) = default;
};

/// Returns empty and sets the reason when `text` isn't a JSON array of VMs.
std::optional<std::vector<vm_info>> parse_vm_list(std::string_view text);

} // namespace medlarhub
