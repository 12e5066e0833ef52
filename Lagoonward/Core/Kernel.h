#pragma once

#include "Lagoonward/Core/Service.h"

#include <memory>
#include <vector>

namespace lagoonward {

/// Owns the services of one daemon and looks them up by name.
/// Registration happens before StartAll(), on one thread; Find() is then safe from any thread.
class Kernel
{
public:
  /// Adds a service. Its name must be unique in the kernel.
  /// @return the service, still owned by the kernel
  template<typename ServiceType>
  ServiceType& Add(std::unique_ptr<ServiceType> aService)
  {
    ServiceType& reference = *aService;
    this->Register(std::move(aService));
    return reference;
  }

  /// The service of that name and type, or nullptr.
  template<typename ServiceType>
  [[nodiscard]] ServiceType* Find(std::string_view aName) const
  {
    return dynamic_cast<ServiceType*>(this->FindAny(aName));
  }

  /// Starts all services in the order of registration. If one fails to start, those already started are
  /// stopped and its error is returned.
  [[nodiscard]] Result<void> StartAll();

  /// Drains all running services, the last registered first.
  void DrainAll();

  /// Stops all running services, the last registered first. Safe to call twice.
  void StopAll();

private:
  void Register(std::unique_ptr<Service> aService);
  [[nodiscard]] Service* FindAny(std::string_view aName) const;

  std::vector<std::unique_ptr<Service>> services;
  std::size_t startedCount = 0; ///< Number of `services`, from the front, that have been started.
};

} // namespace lagoonward
