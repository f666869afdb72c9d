#pragma once

#include "http/client.h"

#include "medlarhub/targets.h"

#include <memory>

namespace medlarhub {

/// Client for targets with the HTTP interface that docs/platform.md describes.
std::unique_ptr<target_client> make_http_targets(http_client& client, milliseconds timeout);

} // namespace medlarhub
