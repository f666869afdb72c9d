#include "medlarhub/document.h"
#include "medlarhub/settings.h"

#include <catch2/catch.hpp>

using namespace medlarhub;

namespace {

struct validation_case {
    std::string name;
    std::string text;
    std::string place; ///< `line: key` of the first error, empty when the text is valid
};

std::string first_place(const std::vector<ini_error>& errors) {
    return errors.empty() ? std::string{} : std::to_string(errors.front().line) + ": " + errors.front().key;
}

const std::string good_service = "[service]\nname = check\nteam = orchard\nkind = request\n[needs]\n";

} // namespace

TEST_CASE("errors in a service document are reported with their location", "[document]") {
    const auto given = GENERATE(values<validation_case>({
        {"valid", good_service + "cpus = 0.5\nmemory = 256MB\n", ""},
        {"fraction of a GB", good_service + "cpus = 2\nmemory = 1.5GB\n", ""},
        {"missing key", good_service + "cpus = 1\n", "5: needs.memory"},
        {"unknown key", good_service + "cpus = 1\nmemory = 1GB\nprocessors = 2\n", "8: needs.processors"},
        {"unknown section", good_service + "cpus = 1\nmemory = 1GB\n[extra]\nkey = 1\n", "9: extra.key"},
        {"no unit", good_service + "cpus = 1\nmemory = 256\n", "7: needs.memory"},
        {"negative", good_service + "cpus = -1\nmemory = 256MB\n", "6: needs.cpus"},
        {"overflow", good_service + "cpus = 99999999999999999999\nmemory = 1GB\n", "6: needs.cpus"},
        {"not a number", good_service + "cpus = nan\nmemory = 1GB\n", "6: needs.cpus"},
        {"duplicate key", good_service + "cpus = 1\ncpus = 2\nmemory = 1GB\n", "7: (file)"},
        {"bad kind", "[service]\nname = a\nteam = b\nkind = cron\n[needs]\ncpus = 1\nmemory = 1GB\n",
         "4: service.kind"},
        {"bad name", "[service]\nname = a/b\nteam = b\nkind = batch\n[needs]\ncpus = 1\nmemory = 1GB\n",
         "2: service.name"},
        {"no section", "name = check\n", "1: (file)"},
        {"garbage", "[service\nname", "1: (file)"},
        {"replicas of a request",
         "[service]\nname = a\nteam = b\nkind = request\nreplicas = 3\n[needs]\ncpus = 1\n"
         "memory = 1GB\n",
         "5: service.replicas"},
        {"preemptible request", good_service + "cpus = 1\nmemory = 1GB\n[policy]\npreemptible = true\n",
         "9: policy.preemptible"},
        {"bad duration", good_service + "cpus = 1\nmemory = 1GB\n[limits]\ndeadline = 5\n",
         "9: limits.deadline"},
    }));
    INFO(given.name);
    std::vector<ini_error> errors;
    const auto identity = check_document("a.ini", given.text, errors);
    CHECK(first_place(errors) == given.place);
    CHECK(identity.has_value() == given.place.empty());
}

TEST_CASE("a cell document lists each rack in only one partition", "[document]") {
    std::vector<ini_error> errors;
    CHECK(parse_cell("cell.ini", "[cell]\nname = c\n[partition.0]\nracks = a/r1 a/r2\n", errors));
    CHECK_FALSE(parse_cell(
        "cell.ini", "[cell]\nname = c\n[partition.0]\nracks = a/r1\n[partition.1]\nracks = a/r1\n", errors));
    CHECK_FALSE(parse_cell("cell.ini", "[cell]\nname = c\n", errors));
}

TEST_CASE("errors in settings are reported with their location", "[settings]") {
    const std::string good =
        "[node]\nname = n1\ndata_centre = vernon\nhttp = 127.0.0.1:80\npeer = 127.0.0.1:81\n"
        "[platform]\ntable = http://a\nobjects = http://a\nvm_list = http://a\n";
    const auto given = GENERATE_COPY(values<validation_case>({
        {"valid", good, ""},
        {"port out of range",
         "[node]\nname = n\ndata_centre = d\nhttp = 1.1.1.1:70000\npeer = 1.1.1.1:1\n" +
             good.substr(good.find("[platform]")),
         "4: node.http"},
        {"unknown key", good + "x = 1\n", "10: platform.x"},
        {"stale bound below two poll periods", good + "[timing]\nconfig_poll = 2s\nconfig_stale_after = 3s\n",
         "12: timing.config_stale_after"},
        {"operator's key in plain text", good + "[operators]\nalice = secret\n", "11: operators.alice"},
    }));
    INFO(given.name);
    std::vector<ini_error> errors;
    const auto parsed = parse_settings("node.ini", given.text, errors);
    CHECK(first_place(errors) == given.place);
    CHECK(parsed.has_value() == given.place.empty());
}
