#pragma once

#include <rapidcheck.h>

#include <concepts>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace lagoonward::fuzz {

/// One step of a test: which operation, who does it, and one number that the operation reads as it
/// likes. Every operation is possible in every state, so that any part of a sequence is a sequence.
struct Operation
{
  int kind = 0;
  int actor = 0;
  int argument = 0;
};

/// The real modules beside a simple oracle. A new one is made for each sequence; the oracle speaks up
/// through RC_ASSERT and RC_FAIL.
template<typename Candidate>
concept StatefulHarness = requires(Candidate aHarness, const Operation& aOperation)
{
  {
    Candidate::kName
    } -> std::convertible_to<std::string_view>;
  {
    Candidate::kOperations[0]
    } -> std::convertible_to<std::string_view>;
  aHarness.Run(aOperation);
  aHarness.Finish(); ///< Faults are over: whatever must happen in the end is checked here.
};

/// Result of one harness.
struct HarnessReport
{
  bool passed = false;
  std::uint64_t sequences = 0;
  std::uint64_t operations = 0; ///< Shrinking included.
};

inline constexpr int kActors = 3;
inline constexpr int kLargestArgument = 63;

/// A sequence of one harness, which prints itself by the names of its operations.
template<StatefulHarness Harness>
struct Sequence
{
  std::vector<Operation> operations;
};

template<StatefulHarness Harness>
void
showValue(const Sequence<Harness>& aSequence, std::ostream& aStream)
{
  aStream << aSequence.operations.size() << " operations:";
  for (const Operation& operation : aSequence.operations) {
    aStream << "\n  " << Harness::kOperations[operation.kind] << " actor " << operation.actor
            << " argument " << operation.argument;
  }
}

/// The kinds of operations, each as often as `Harness::kWeights` says; once each without weights.
template<StatefulHarness Harness>
std::vector<int>
WeightedKinds()
{
  std::vector<int> kinds;
  for (int kind = 0; kind < static_cast<int>(std::size(Harness::kOperations)); ++kind) {
    int weight = 1;
    if constexpr (requires { Harness::kWeights; }) {
      weight = Harness::kWeights[static_cast<std::size_t>(kind)];
    }
    kinds.insert(kinds.end(), static_cast<std::size_t>(weight), kind);
  }
  return kinds;
}

template<StatefulHarness Harness>
rc::Gen<Sequence<Harness>>
AnySequence()
{
  const auto operation = rc::gen::build<Operation>(
    rc::gen::set(&Operation::kind, rc::gen::elementOf(WeightedKinds<Harness>())),
    rc::gen::set(&Operation::actor, rc::gen::inRange(0, kActors)),
    rc::gen::set(&Operation::argument, rc::gen::inRange(0, kLargestArgument + 1)));
  return rc::gen::map(
    rc::gen::container<std::vector<Operation>>(operation),
    [](std::vector<Operation> aOperations) { return Sequence<Harness>{ std::move(aOperations) }; });
}

/// Runs one harness over the number of cases that was configured. Prints the shortest failing
/// sequence.
template<StatefulHarness Harness>
HarnessReport
RunHarness()
{
  HarnessReport report;
  report.passed = rc::check(std::string(Harness::kName), [&report] {
    const auto sequence = *AnySequence<Harness>();
    ++report.sequences;
    Harness harness;
    for (const Operation& operation : sequence.operations) {
      harness.Run(operation);
      ++report.operations;
    }
    harness.Finish();
  });
  return report;
}

} // namespace lagoonward::fuzz
