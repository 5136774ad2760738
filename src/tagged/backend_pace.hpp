// Learns how fast each backend server of a service is, from the requests that it answers.
//
// The load it is made for: backend servers of one service that differ in speed, or turn slow long
// before they are full, at a fleet whose daemons each see a few requests a second of each of them.
// A daemon on its own needs several slow answers to notice one, and tries it again soon; tens of
// daemons that do so give a slow backend server more than it takes. So daemons pool what they have
// measured, by gossip, and after a while without measurements only its probers try it again: two
// daemons by rendezvous hash, with one request each from time to time.
//
// A pace is the mean logarithm of the time that requests take, relative to what requests of the
// service take on average, so a slowdown of the whole service changes nobody's pace. Time in the
// queue of a backend server counts: one that slows down under load is given less until its requests
// take as long as elsewhere. Recent measurements count more, and without any the pace fades.
#ifndef BRIARBARROW_TAGGED_BACKEND_PACE_HPP
#define BRIARBARROW_TAGGED_BACKEND_PACE_HPP

#include <cstdint>
#include <optional>

#include "core/clock.hpp"

namespace briarbarrow
{

struct pace_limits
{
    // Measurements lose weight with this time constant, and what is known altogether with the
    // longer one while there are no new ones.
    millis measurement_time_constant{1'500};
    millis memory_time_constant{8'000};
    // Measurements at which a pace counts half: one long request proves nothing.
    double prior_weight = 2;
    // Largest weight of one daemon's report.
    double max_report_weight = 8;
    // Logarithms are clamped: a request that was stuck is not a hundred times slower.
    double max_log_ratio = 2.5;
    // A pace above this is slow (exp(0.45) = 1.57 times the service's): it is reported to others,
    // and probed once it is not measured any more.
    double slow_log_ratio = 0.45;
    // A backend server is probed when its pace has not been measured for this long, by each prober
    // at most once in that time.
    millis probe_interval{2'000};
    // The same after a probe that was not slow, so that a few more confirm it soon.
    millis recovery_probe_interval{250};
    // Measurements of one that was slow are reported for this long, so that its recovery is known.
    millis report_duration{5'000};
    // Smallest weight of a report.
    double min_report_weight = 0.3;
};

// A weighted mean that forgets.
struct decaying_mean
{
    double weight = 0;
    double mean = 0;
    millis updated;
};

// What is known of a backend server's pace.
struct pace_record
{
    // This daemon's own measurements, and all including other daemons'.
    decaying_mean own;
    decaying_mean pooled;
    // When it was last measured by any daemon, when this one last probed it, and when it was last
    // found slow.
    millis measured_at;
    millis probed_at;
    std::optional<millis> slow_at;
};

// Adds a measurement of this daemon: the time of a request, and the mean logarithm of such times in
// the service.
void observe_pace(pace_record& record, double request_ms, double service_log_ms,
                  const pace_limits& limits, millis now);

// Adds another daemon's measurements.
void merge_pace(pace_record& record, double weight, double log_ratio, const pace_limits& limits,
                millis now);

// The logarithm of the pace; 0 for one that is as fast as its service, or not known.
double log_pace(const pace_record& record, const pace_limits& limits, millis now);

// Weight of the daemon's own measurements, if others should hear of them; 0 if not.
double weight_to_report(const pace_record& record, const pace_limits& limits, millis now);

// True when a prober should try a slow backend server again.
bool is_probe_due(const pace_record& record, const pace_limits& limits, millis now);

} // namespace briarbarrow

#endif
