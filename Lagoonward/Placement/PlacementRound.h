#pragma once

#include "Lagoonward/Placement/Placement.h"

namespace lagoonward {

/// One reconciliation of a Placement. Internal to it.
class Placement::Round
{
public:
  Round(Placement& aPlacement, const PlacementView& aView, TimePoint aNow, WallTime aWallNow);

  [[nodiscard]] std::vector<PlacementOrder> Run();

private:
  /// An endpoint that may serve this market, with what it holds and is about to hold.
  struct Candidate
  {
    const Endpoint* endpoint = nullptr;
    int held = 0;         ///< Model versions loaded or ordered.
    bool loading = false; ///< An order is under way there.
    bool refuses = false; ///< It refused one just now.
  };

  void CollectCandidates();
  void RepeatStarts();
  /// Adds endpoints to a version until enough survive, or no more can be added now.
  void PlaceModel(const ManifestModel& aModel);
  void PlaceAdapters(const ManifestModel& aModel);
  void UnloadUnwanted();
  void StopSpare();

  [[nodiscard]] Candidate* BestCandidate(const ManifestModel& aModel,
                                         const DomainCoverage& aCoverage, int aNeeded);
  [[nodiscard]] bool CanTake(const Candidate& aCandidate, const ManifestModel& aModel) const;
  [[nodiscard]] std::optional<Price> OfferIn(const std::string& aDomain) const;

  /// Failure domains in which the version can be added now, to an endpoint or on a new host.
  [[nodiscard]] std::size_t AvailableDomains(const ManifestModel& aModel) const;
  void StartHostFor(const ManifestModel& aModel, const DomainCoverage& aCoverage);
  bool OrderLoad(Candidate& aCandidate, PlacementOrder aOrder);

  [[nodiscard]] DomainCoverage Coverage(const ManifestModel& aModel, bool aPlanned) const;
  [[nodiscard]] bool IsHeld(const Endpoint& aEndpoint, const ManifestModel& aModel) const;
  [[nodiscard]] bool IsOrdered(const std::string& aEndpoint, const ManifestModel& aModel) const;
  [[nodiscard]] int Needed(const ManifestModel& aModel) const;
  [[nodiscard]] bool IsWantedByOthers(const LoadedModel& aLoaded) const;
  [[nodiscard]] bool IsReplaced(const LoadedModel& aLoaded) const;
  [[nodiscard]] bool IsDomainGoing(const std::string& aDomain) const;
  [[nodiscard]] bool IsSpare(const Endpoint& aEndpoint) const;
  [[nodiscard]] int LoadsUnderWay() const;
  /// The same for every leader under one configuration.
  [[nodiscard]] std::string StepId(const PlacementOrder& aOrder) const;
  [[nodiscard]] std::string OrderId(const std::string& aStep) const;

  Placement& placement;
  const PlacementView& view;
  TimePoint now;
  WallTime wallNow;
  std::vector<Candidate> candidates;
  std::map<const ManifestModel*, DomainCoverage> loadedCoverage; ///< As the endpoints report.
  std::vector<PlacementOrder> orders;
};

} // namespace lagoonward
