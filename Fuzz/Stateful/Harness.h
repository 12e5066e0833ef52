#pragma once

#include <rapidcheck.h>

#include <concepts>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace lagoonward::fuzz {

/// One step of a test: the operation, the actor that executes it, and a number whose meaning depends on the operation.
/// Every operation is valid in every state, so that any subsequence is valid and sequences can be shrunk.
struct Operation
{
  int kind = 0;
  int actor = 0;
  int argument = 0;
};

/// A harness runs production modules together with a simple oracle. A new harness is constructed for each sequence;
/// the oracle reports violations through RC_ASSERT and RC_FAIL.
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
  aHarness.Finish(); ///< Ends all faults, then checks the conditions that must hold eventually.
};

/// Result of one harness.
struct HarnessReport
{
  bool passed = false;
  std::uint64_t sequences = 0;
  std::uint64_t operations = 0; ///< Including those run while shrinking.
};

inline constexpr int kActors = 3;
inline constexpr int kLargestArgument = 63;

/// A sequence of operations for one harness. showValue() prints the operations by name.
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

/// Indices of the harness's operations, each repeated `Harness::kWeights` times; once each without weights.
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

/// Runs one harness for the configured number of cases. Prints the shortest failing sequence.
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
