#include "medlarhub/fleet.h"

#include "medlarhub/reason.h"

#include <nlohmann/json.hpp>

namespace medlarhub {

std::optional<std::vector<vm_info>> parse_vm_list(std::string_view text) {
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_array())
        return fail("the VM list is not a JSON array");
    std::vector<vm_info> vms;
    for (const auto& item : json) {
        if (!item.is_object())
            return fail("a VM in the list is not a JSON object");
        vm_info vm;
        vm.id = item.value("id", "");
        vm.role = item.value("role", "target") == "entry" ? vm_role::entry : vm_role::target;
        vm.address = item.value("address", "");
        vm.data_centre = item.value("data_centre", "");
        vm.rack = item.value("rack", "");
        vm.capacity.cpu_milli = item.value("cpu_milli", std::int64_t{0});
        vm.capacity.memory_mb = item.value("memory_mb", std::int64_t{0});
        vm.capacity.accelerators = item.value("accelerators", std::int64_t{0});
        vm.slots = item.value("slots", 0);
        vm.leaving = item.value("state", "live") == "leaving";
        if (vm.id.empty() || vm.address.empty())
            return fail("a VM in the list has no id or address");
        vms.push_back(std::move(vm));
    }
    return vms;
}

} // namespace medlarhub
