#include "Lagoonward/Core/VirtualClock.h"
#include "Lagoonward/Frontend/CallReader.h"

#include <boost/test/unit_test.hpp>

using namespace lagoonward;

namespace {

/// Configuration of a market with one model, two services and two classes. The client's key is "secret".
Configuration
MakeConfiguration()
{
  Configuration configuration;
  configuration.market = "vestland";
  Manifest& manifest = configuration.manifest;
  manifest.market = "vestland";
  manifest.models = { { "permit", "7", { { "letters", { "3", "2" } } }, 1 } };
  manifest.services = { { "submit", false }, { "lookup", true } };
  manifest.classes = { { "draft", Milliseconds(5000), Milliseconds(100), Milliseconds(60'000), 1 },
                       { "urgent", Milliseconds(500), Milliseconds(50), Milliseconds(5000), 9 } };
  manifest.clients = {
    { "county", "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b", 1, 0, 0 }
  };
  return configuration;
}

HttpRequest
MakeRequest(std::string aBody)
{
  HttpRequest request;
  request.method = "POST";
  request.path = "/v1/completions";
  request.headers = { { "authorization", "Bearer secret" } };
  request.body = std::move(aBody);
  return request;
}

struct Fixture
{
  VirtualClock clock;
  CallReader reader{ {}, clock };
  Configuration configuration = MakeConfiguration();

  /// Reads an invalid request and returns the kind of its error.
  ErrorKind ReadErrorKind(const HttpRequest& aRequest)
  {
    const auto result = this->reader.ReadCompletion(aRequest, this->configuration);
    BOOST_REQUIRE(!result.has_value());
    BOOST_TEST((result.error().ran == Ran::No));
    return result.error().kind;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallReaderTests, Fixture)

BOOST_AUTO_TEST_CASE(CompletionFieldsAndHeadersAreRead)
{
  auto request = MakeRequest(
    R"({"model":"permit:letters@2","prompt":"a b c","max_tokens":9,"stream":true,"seed":5})");
  request.headers.emplace_back("Lagoonward-Class", "urgent");
  const auto result = this->reader.ReadCompletion(request, this->configuration);
  BOOST_REQUIRE(result.has_value());
  const CompletionCall& call = result.value().call;
  BOOST_TEST(call.terms.client == "county");
  BOOST_TEST(call.terms.rank == 1);
  BOOST_TEST((call.terms.deadline - this->clock.Now() == Milliseconds(5000)));
  BOOST_TEST(call.engine.version == "7");
  BOOST_TEST(call.engine.adapter == "letters");
  BOOST_TEST(call.engine.adapterVersion == "2");
  BOOST_TEST(call.engine.seed == 5U);
  BOOST_TEST(call.promptTokens == 3);
  BOOST_TEST(result.value().format.stream);
}

BOOST_AUTO_TEST_CASE(SameIdempotencyKeyGivesTheSameSeed)
{
  auto request = MakeRequest(R"({"model":"permit","prompt":"a"})");
  request.headers.emplace_back("Idempotency-Key", "k1");
  const auto first = this->reader.ReadCompletion(request, this->configuration);
  const auto second = this->reader.ReadCompletion(request, this->configuration);
  BOOST_TEST(first.value().call.engine.seed == second.value().call.engine.seed);
  BOOST_TEST(first.value().call.terms.bodyHash == second.value().call.terms.bodyHash);
  BOOST_TEST(first.value().call.engine.requestId != second.value().call.engine.requestId);
}

BOOST_AUTO_TEST_CASE(ChatMessagesAreJoinedToOnePrompt)
{
  auto request =
    MakeRequest(R"({"model":"permit","messages":[{"role":"user","content":"hello"}]})");
  request.path = CallReader::kChatPath;
  const auto result = this->reader.ReadCompletion(request, this->configuration);
  BOOST_TEST(result.value().call.engine.prompt == "user\nhello\n");
}

BOOST_AUTO_TEST_CASE(InvalidRequestsGetTheMatchingErrorKind)
{
  const std::string good = R"({"model":"permit","prompt":"a"})";
  auto request = MakeRequest(good);
  request.headers.clear();
  BOOST_TEST((this->ReadErrorKind(request) == ErrorKind::Unauthorized));
  request.headers = { { "Authorization", "Bearer wrong" } };
  BOOST_TEST((this->ReadErrorKind(request) == ErrorKind::Unauthorized));
  request = MakeRequest(good);
  request.headers.emplace_back("Lagoonward-Class", "none");
  BOOST_TEST((this->ReadErrorKind(request) == ErrorKind::UnknownClass));

  for (const char* model : { "none", "permit:none", "permit:letters@9" }) {
    const std::string body = std::string(R"({"prompt":"a","model":")") + model + "\"}";
    BOOST_TEST((this->ReadErrorKind(MakeRequest(body)) == ErrorKind::UnknownModel), model);
  }
  for (const char* body :
       { "", "[]", "{", "{\"prompt\":\"\xff\",\"model\":\"permit\"}", R"({"model":"permit"})",
         R"({"prompt":"a"})", R"({"model":"permit","prompt":"a","max_tokens":0})",
         R"({"model":"permit","prompt":"a","max_tokens":"9"})",
         R"({"model":"permit","prompt":"a","stream":1})",
         R"({"model":"permit","prompt":"a","n":2})" }) {
    BOOST_TEST((this->ReadErrorKind(MakeRequest(body)) == ErrorKind::InvalidRequest), body);
  }
}

BOOST_AUTO_TEST_CASE(InvalidHeaderValuesAreRejected)
{
  const std::string good = R"({"model":"permit","prompt":"a"})";
  for (const auto& [name, value] : std::vector<HttpHeader>{ { "Lagoonward-Deadline-Ms", "0" },
                                                            { "Lagoonward-Deadline-Ms", "soon" },
                                                            { "Lagoonward-Idempotent", "maybe" },
                                                            { "Idempotency-Key", "a b" },
                                                            { "Last-Event-ID", "4" } }) {
    auto request = MakeRequest(good);
    request.headers.emplace_back(name, value);
    BOOST_TEST((this->ReadErrorKind(request) == ErrorKind::InvalidRequest), name << "=" << value);
  }
}

BOOST_AUTO_TEST_CASE(ServiceCallIsIdempotentOnlyIfTheServiceIsRepeatable)
{
  auto request = MakeRequest("payload");
  request.path = "/v1/services/submit/a/b";
  const auto submit = this->reader.ReadService(request, this->configuration);
  BOOST_REQUIRE(submit.has_value());
  BOOST_TEST(submit.value().path == "/a/b");
  BOOST_TEST(!submit.value().terms.idempotent);
  request.path = "/v1/services/lookup";
  BOOST_TEST(this->reader.ReadService(request, this->configuration).value().terms.idempotent);
  request.path = "/v1/services/none/x";
  BOOST_TEST((this->reader.ReadService(request, this->configuration).error().kind ==
              ErrorKind::UnknownService));
}

BOOST_AUTO_TEST_SUITE_END()
