#pragma once

#include "harness/deployment.h"
#include "harness/workload.h"

#include <string>

namespace flamingo
{

/// A plan whose folder and ports differ from those of the other tests. The folder with the logs stays after the test.
DeploymentPlan testPlan(const std::string &name);

/// Prints a measured value with a prefix by which it can be found in the output.
void printMeasurement(const std::string &text);

} // namespace flamingo
