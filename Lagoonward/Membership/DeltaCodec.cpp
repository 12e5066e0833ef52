#include "Lagoonward/Membership/DeltaCodec.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace lagoonward {

namespace {

/// Fast, as small hosts encode each version themselves; with a base most of the text is one long match anyway.
constexpr int kCompressionLevel = 1;

/// Smallest and largest base-2 logarithm of the window, which must span base and text for matches to reach the base.
constexpr int kMinimumWindowLog = 17;
constexpr int kMaximumWindowLog = 27;

struct CompressorDeleter
{
  void operator()(ZSTD_CCtx* aContext) const { ZSTD_freeCCtx(aContext); }
};

struct DecompressorDeleter
{
  void operator()(ZSTD_DCtx* aContext) const { ZSTD_freeDCtx(aContext); }
};

int
WindowLog(std::size_t aBytes)
{
  return std::clamp(static_cast<int>(std::bit_width(aBytes)), kMinimumWindowLog, kMaximumWindowLog);
}

} // namespace

std::string
EncodeDelta(std::string_view aBase, std::string_view aText)
{
  const std::unique_ptr<ZSTD_CCtx, CompressorDeleter> context(ZSTD_createCCtx());
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kCompressionLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  if (!aBase.empty()) {
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, WindowLog(aBase.size() + aText.size()));
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_refPrefix(context.get(), aBase.data(), aBase.size());
  }
  std::string delta(ZSTD_compressBound(aText.size()), '\0');
  const std::size_t size =
    ZSTD_compress2(context.get(), delta.data(), delta.size(), aText.data(), aText.size());
  delta.resize(ZSTD_isError(size) != 0 ? 0 : size);
  return delta;
}

std::optional<std::string>
DecodeDelta(std::string_view aBase, std::string_view aDelta, std::size_t aMaximumBytes)
{
  const unsigned long long length = ZSTD_getFrameContentSize(aDelta.data(), aDelta.size());
  if (length == ZSTD_CONTENTSIZE_UNKNOWN || length == ZSTD_CONTENTSIZE_ERROR ||
      length > aMaximumBytes) {
    return std::nullopt;
  }
  const std::unique_ptr<ZSTD_DCtx, DecompressorDeleter> context(ZSTD_createDCtx());
  ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, kMaximumWindowLog);
  ZSTD_DCtx_refPrefix(context.get(), aBase.data(), aBase.size());
  std::string text(length, '\0');
  const std::size_t size =
    ZSTD_decompressDCtx(context.get(), text.data(), text.size(), aDelta.data(), aDelta.size());
  if (ZSTD_isError(size) != 0 || size != length) {
    return std::nullopt;
  }
  return text;
}

} // namespace lagoonward
