// The settings of one instance, read from a file at start and checked completely before use.
#pragma once

#include "framework/global/types/ids.h"
#include "settings/types/callersettings.h"
#include "settings/types/checkfailure.h"
#include "settings/types/limits.h"
#include "settings/types/logsettings.h"
#include "settings/types/operatorsettings.h"
#include "settings/types/peersettings.h"
#include "settings/types/platformsettings.h"
#include "settings/types/weightstoresettings.h"

#include <string>
#include <string_view>

namespace magnolia::settings
{

struct Settings
{
    InstanceId instance;
    DataCentreId dataCentre;
    CallerSettings caller;
    OperatorSettings operators;
    PeerSettings peer;
    PlatformSettings platform;
    LogSettings log;
    Limits limits;
    WeightStoreSettings weightStore;
};

/**
 * Parses and checks `text`, which is JSON with comments. Error: SettingsInvalid with all problems.
 * Opens no file, so that a reload can be checked before it takes effect.
 */
[[nodiscard]] Checked<Settings> parseSettings(std::string_view text);

/** Reads and checks the file at `path`. Errors: SettingsUnreadable, or those of `parseSettings`. */
[[nodiscard]] Checked<Settings> readSettings(const std::string &path);

/** Returns the settings as JSON, including defaults, with masked secrets. */
[[nodiscard]] std::string printSettings(const Settings &settings);

} // namespace magnolia::settings
