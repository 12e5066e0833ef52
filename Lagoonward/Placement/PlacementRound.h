#pragma once

#include "Lagoonward/Placement/Placement.h"

namespace lagoonward {

/// One reconciliation of a Placement. Internal to Placement.
class Placement::Round
{
public:
  Round(Placement& aPlacement, const PlacementView& aView, TimePoint aNow, WallTime aWallNow);

  [[nodiscard]] std::vector<PlacementOrder> Run();

private:
  /// An endpoint that may serve this market, with its loaded and ordered models.
  struct Candidate
  {
    const Endpoint* endpoint = nullptr;
    int modelCount = 0;           ///< Model versions loaded or ordered.
    bool hasPendingOrder = false; ///< An order to the endpoint has not taken effect yet.
    bool refusedRecently = false; ///< It refused an order recently.
  };

  void CollectCandidates();
  void RepeatUnansweredStarts();
  /// Adds endpoints to a model version until enough would survive the loss of a failure domain, or no more
  /// can be added now.
  void PlaceModel(const ManifestModel& aModel);
  void PlaceAdapters(const ManifestModel& aModel);
  void UnloadUnwanted();
  void StopUnneededHost();

  [[nodiscard]] Candidate* BestCandidate(const ManifestModel& aModel,
                                         const DomainCoverage& aCoverage, int aNeeded);
  [[nodiscard]] bool CanLoad(const Candidate& aCandidate, const ManifestModel& aModel) const;
  [[nodiscard]] std::optional<Price> OfferIn(const std::string& aDomain) const;

  /// Number of failure domains in which the version can be added now, on an endpoint or a new host.
  [[nodiscard]] std::size_t AvailableDomains(const ManifestModel& aModel) const;
  void StartHostFor(const ManifestModel& aModel, const DomainCoverage& aCoverage);
  bool OrderLoad(Candidate& aCandidate, PlacementOrder aOrder);

  [[nodiscard]] DomainCoverage Coverage(const ManifestModel& aModel, bool aIncludeOrdered) const;
  [[nodiscard]] bool IsLoaded(const Endpoint& aEndpoint, const ManifestModel& aModel) const;
  [[nodiscard]] bool IsLoadOrdered(const std::string& aEndpoint, const ManifestModel& aModel) const;
  [[nodiscard]] int RequiredEndpoints(const ManifestModel& aModel) const;
  [[nodiscard]] bool IsWantedByOthers(const LoadedModel& aLoaded) const;
  [[nodiscard]] bool IsReplaced(const LoadedModel& aLoaded) const;
  [[nodiscard]] bool IsDomainLeaving(const std::string& aDomain) const;
  [[nodiscard]] bool IsUnneeded(const Endpoint& aEndpoint) const;
  [[nodiscard]] int LoadsInProgress() const;
  /// The id of a step; equal for all leaders under one configuration.
  [[nodiscard]] std::string StepId(const PlacementOrder& aOrder) const;
  [[nodiscard]] std::string OrderId(const std::string& aStep) const;

  Placement& placement;
  const PlacementView& view;
  TimePoint now;
  WallTime wallNow;
  std::vector<Candidate> candidates;
  std::map<const ManifestModel*, DomainCoverage> loadedCoverage; ///< By reports of the endpoints.
  std::vector<PlacementOrder> orders;
};

} // namespace lagoonward
