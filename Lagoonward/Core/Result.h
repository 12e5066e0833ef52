#pragma once

#include "Lagoonward/Core/Error.h"

#include <boost/outcome/result.hpp>

namespace lagoonward {

/// Either a value or an Error. Exceptions are not used across modules.
template<typename Value>
using Result = boost::outcome_v2::basic_result<Value, Error, boost::outcome_v2::policy::all_narrow>;

} // namespace lagoonward
