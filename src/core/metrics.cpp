#include "core/metrics.h"

#include <boost/histogram.hpp>
#include <fmt/format.h>

#include <iterator>

namespace flamingo
{

namespace bh = boost::histogram;

namespace
{
constexpr unsigned BucketCount = 32;
constexpr double LowestBucketMs = 0.1;
constexpr double HighestBucketMs = 600000.0;

auto makeHistogram()
{
    using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
    return bh::make_histogram(LogAxis(BucketCount, LowestBucketMs, HighestBucketMs));
}

std::string seriesName(const std::string &name, const std::string &label)
{
    return label.empty() ? name : fmt::format("{}{{{}}}", name, label);
}
} // namespace

struct Metrics::Histogram {
    decltype(makeHistogram()) buckets = makeHistogram();
    double sum = 0;
};

Metrics::Metrics()
{
    for (const ErrorInfo &info : errorTable()) {
        m_counters["flamingo_refusals_total"][fmt::format("kind=\"{}\"", info.name)] = 0;
    }
}

Metrics::~Metrics() = default;

void Metrics::add(const std::string &name, const std::string &label, std::uint64_t n)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_counters[name][label] += n;
}

void Metrics::addRefusal(ErrorKind kind)
{
    add("flamingo_refusals_total", fmt::format("kind=\"{}\"", errorInfo(kind).name));
}

void Metrics::addRetry(const std::string &reason)
{
    add("flamingo_retries_total", fmt::format("reason=\"{}\"", reason));
}

void Metrics::setGauge(const std::string &name, const std::string &label, double value)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_gauges[name][label] = value;
}

void Metrics::observe(const std::string &name, double milliseconds)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    auto &histogram = m_histograms[name];
    if (!histogram) {
        histogram = std::make_unique<Histogram>();
    }
    histogram->buckets(milliseconds);
    histogram->sum += milliseconds;
}

std::uint64_t Metrics::counter(const std::string &name, const std::string &label) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_counters.find(name);
    if (it == m_counters.end()) {
        return 0;
    }
    const auto labelled = it->second.find(label);
    return labelled == it->second.end() ? 0 : labelled->second;
}

std::string Metrics::render() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    fmt::memory_buffer buf;
    auto out = std::back_inserter(buf);
    for (const auto &[name, samples] : m_counters) {
        fmt::format_to(out, "# TYPE {} counter\n", name);
        for (const auto &[label, value] : samples) {
            fmt::format_to(out, "{} {}\n", seriesName(name, label), value);
        }
    }
    for (const auto &[name, samples] : m_gauges) {
        fmt::format_to(out, "# TYPE {} gauge\n", name);
        for (const auto &[label, value] : samples) {
            fmt::format_to(out, "{} {}\n", seriesName(name, label), value);
        }
    }
    for (const auto &[name, histogram] : m_histograms) {
        fmt::format_to(out, "# TYPE {} histogram\n", name);
        // Bin -1 counts values below the lowest bucket, bin BucketCount those above the highest.
        double count = histogram->buckets.at(-1);
        for (auto &&bucket : bh::indexed(histogram->buckets)) {
            count += *bucket;
            fmt::format_to(out, "{}_bucket{{le=\"{:.3g}\"}} {}\n", name, bucket.bin().upper(), count);
        }
        count += histogram->buckets.at(BucketCount);
        fmt::format_to(out, "{}_bucket{{le=\"+Inf\"}} {}\n{}_sum {}\n{}_count {}\n", name, count, name, histogram->sum, name, count);
    }
    return fmt::to_string(buf);
}

} // namespace flamingo
