#pragma once

#include "harness/deployment.h"
#include "harness/workload.h"

#include <string>

namespace flamingo
{

/// A plan with a folder and ports of its own for each test. Failed tests leave their folder with the logs.
DeploymentPlan testPlan(const std::string &name);

/// Prints a figure in a form that is easy to find in the output.
void printMeasurement(const std::string &text);

} // namespace flamingo
