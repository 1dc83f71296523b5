#ifndef KNAPWEEDLOFT_CAPACITY_TARGETS_H
#define KNAPWEEDLOFT_CAPACITY_TARGETS_H

namespace knapweedloft::capacity {

// The size that decides the design, and what a daemon may spend on control.

inline constexpr double Members = 5800;
inline constexpr double Services = 310;
inline constexpr double DataCenters = 7;
inline constexpr double MembersADataCenter = Members / DataCenters;
inline constexpr double CallsASecond = 1.9e6;
inline constexpr double ChangesADay = 27000;
inline constexpr double ReplacementsADay = 390;
inline constexpr double SecondsADay = 86400;

/// Links of a daemon that membership and the relay tree use, of a busy one.
inline constexpr double ControlLinks = 24;
/// Links of a daemon that carry requests only: its target calls three services
/// of 19 members each and is called by as many.
inline constexpr double RequestLinks = 2 * 3 * 19;

inline constexpr double MemoryBytes = 32e6;
inline constexpr double ControlBytesASecond = 17e3;
inline constexpr double ControlCoreShare = 0.037;
inline constexpr double InForceSeconds = 10;
/// Several hundred appends a second is all that the log takes.
inline constexpr double LogAppendsASecond = 300;

} // namespace knapweedloft::capacity

#endif // KNAPWEEDLOFT_CAPACITY_TARGETS_H
