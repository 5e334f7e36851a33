#pragma once

#include "core/error.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace flamingo
{

/// Counters, gauges and latency histograms of one process. All methods are thread-safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Adds n to a counter. The label is the text between the braces of the exported sample, for instance reason="timeout".
    void add(const std::string &name, const std::string &label = {}, std::uint64_t n = 1);

    /// Counts a refused request by the kind of its error.
    void addRefusal(ErrorKind kind);

    /// Counts a retry by its reason.
    void addRetry(const std::string &reason);

    void setGauge(const std::string &name, const std::string &label, double value);

    /// Records a latency in the histogram of this name.
    void observe(const std::string &name, double milliseconds);

    std::uint64_t counter(const std::string &name, const std::string &label = {}) const;

    /// Returns all metrics in the Prometheus text format.
    std::string render() const;

private:
    struct Histogram;

    mutable std::mutex m_mutex;
    std::map<std::string, std::map<std::string, std::uint64_t>> m_counters;
    std::map<std::string, std::map<std::string, double>> m_gauges;
    std::map<std::string, std::unique_ptr<Histogram>> m_histograms;
};

} // namespace flamingo
