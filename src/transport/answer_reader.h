// Reads one HTTP/1.1 answer and decides whether it is valid and whole. All
// clients of this host read answers with it, so that they agree on that.

#ifndef MUSTARDFLOW_TRANSPORT_ANSWER_READER_H_
#define MUSTARDFLOW_TRANSPORT_ANSWER_READER_H_

#include <algorithm>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

#include "transport/asio.h"

namespace mustardflow::transport {

// The longest head of an answer, the longest line with the size of a chunk, and
// the longest last chunk with the fields after it. The parser throws if a value
// has 65,534 bytes or more; no such value fits into these sizes with its name
// and the lines around it.
inline constexpr std::size_t kMaxAnswerHeadBytes = 64 << 10;
inline constexpr std::string_view kLineBreak = "\r\n";

// Interim answers (1xx) that may precede the answer to a request. A server in
// trouble may send them without end.
inline constexpr int kMaxInterimAnswers = 16;

// Returns why the head cannot be that of an answer to a request; no error if it
// can. Invalid are
// - a status outside 100 to 599, and 101, which no request asks for,
// - an interim answer with a body,
// - a head that is made of the heads of two answers, since the server broke off
//   in the first: status and fields may belong to either.
beast::error_code CheckAnswerHead(const http::response_header<>& head);

// Whether a line of `lines`, up to the empty line or the end, begins with a
// blank. The parser would join it to the field before (obs-fold), but a server
// in trouble may mean a field of its own, as Content-Length.
bool HasFoldedLine(std::string_view lines);

// What is known of an answer before it arrives.
struct AnswerTerms {
  // Set for answers to HEAD requests, which end with the head.
  bool has_no_body = false;
  // The longest body in bytes; nothing for a body that is not held.
  boost::optional<std::uint64_t> max_body_bytes;
};

template <class Body>
class AnswerReader {
 public:
  explicit AnswerReader(const AnswerTerms& terms) : terms_(terms) { Restart(); }
  // The parser refers to this object.
  AnswerReader(const AnswerReader&) = delete;
  AnswerReader& operator=(const AnswerReader&) = delete;

  // Begins with the next answer. The former one is dropped.
  void Restart();

  // Parses received bytes, which begin where the last call ended. Returns the
  // number of bytes that are used up. `error` becomes http::error::need_more if
  // more bytes are needed to go on, and tells otherwise why this is no answer.
  // Stops after the head, so that the caller can prepare for the body. The
  // bytes that are not used up are never more than kMaxAnswerHeadBytes where
  // more are needed.
  std::size_t Put(asio::const_buffer bytes, beast::error_code* error);

  // The server has closed its side of the connection (FIN). Sets `error` unless
  // that completes the answer. Not to be called after a reset.
  void PutEnd(beast::error_code* error);

  bool has_head() const { return parser_->is_header_done(); }
  // Whether the head that has arrived is that of an interim answer.
  bool is_interim() const { return parser_->get().result_int() < 200; }
  bool is_done() const { return parser_->is_done(); }
  // Whether the connection can be used again after the answer.
  bool keep_alive() const { return parser_->keep_alive(); }
  std::optional<std::uint64_t> content_length() const;

  http::response<Body>& message() { return parser_->get(); }

 private:
  using Parser = http::response_parser<Body>;
  using ChunkHandler = std::function<
      void(std::uint64_t, beast::string_view, beast::error_code&)>;

  // Checks the fields after the last chunk, before the parser reads them.
  // `extensions` lies within `input_`.
  void HandleChunk(std::uint64_t size,
                   beast::string_view extensions,
                   beast::error_code& error);

  const AnswerTerms terms_;
  ChunkHandler handle_chunk_ = [this](std::uint64_t size,
                                      beast::string_view extensions,
                                      beast::error_code& error) {
    HandleChunk(size, extensions, error);
  };
  // The bytes of the head that are used up.
  std::size_t head_bytes_ = 0;
  // The bytes that are being parsed.
  std::string_view input_;
  // Never empty.
  std::optional<Parser> parser_;
};

// Parses the bytes in `buffer`, or receives more if they do not suffice.
// Returns why that fails.
template <class Body>
awaitable<beast::error_code> ReadPart(beast::tcp_stream& stream,
                                      beast::flat_buffer& buffer,
                                      AnswerReader<Body>& reader);

// Reads until the head of the final answer is complete. Returns why there is
// none.
template <class Body>
awaitable<beast::error_code> ReadFinalHead(beast::tcp_stream& stream,
                                           beast::flat_buffer& buffer,
                                           AnswerReader<Body>& reader);

template <class Body>
void AnswerReader<Body>::Restart() {
  head_bytes_ = 0;
  parser_.emplace();
  parser_->header_limit(kMaxAnswerHeadBytes);
  parser_->body_limit(terms_.max_body_bytes);
  parser_->skip(terms_.has_no_body);
  parser_->eager(false);
  parser_->on_chunk_header(handle_chunk_);
}

template <class Body>
std::size_t AnswerReader<Body>::Put(asio::const_buffer bytes,
                                    beast::error_code* error) {
  const bool in_head = !has_head();
  // The parser itself limits each line of a head, not their sum, and no line of
  // a body in chunks.
  const std::size_t limit =
      kMaxAnswerHeadBytes - (in_head ? head_bytes_ : std::size_t{0});
  input_ = {static_cast<const char*>(bytes.data()),
            std::min(bytes.size(), limit)};
  // Begins with a line, since the parser uses up whole lines.
  if (in_head && HasFoldedLine(input_)) {
    *error = http::error::bad_field;
    return 0;
  }
  const std::size_t used = parser_->put(asio::buffer(input_), *error);
  if (*error == http::error::need_more && input_.size() == limit) {
    *error = used > 0 ? beast::error_code() : http::error::header_limit;
  }
  if (in_head) {
    head_bytes_ += used;
  }
  // The parser adds the fields after the last chunk to the head.
  if (!*error && (in_head ? has_head() : is_done())) {
    *error = CheckAnswerHead(parser_->get().base());
    parser_->eager(true);
  }
  return used;
}

template <class Body>
void AnswerReader<Body>::HandleChunk(std::uint64_t size,
                                     beast::string_view extensions,
                                     beast::error_code& error) {
  if (size > 0) {
    return;
  }
  const char* const end = extensions.data() + extensions.size();
  std::string_view trailer =
      input_.substr(static_cast<std::size_t>(end - input_.data()));
  trailer.remove_prefix(std::min(kLineBreak.size(), trailer.size()));
  if (HasFoldedLine(trailer)) {
    error = http::error::bad_field;
  }
}

template <class Body>
void AnswerReader<Body>::PutEnd(beast::error_code* error) {
  if (!parser_->got_some()) {
    *error = http::error::end_of_stream;
    return;
  }
  parser_->put_eof(*error);
  if (!*error && !is_done()) {
    *error = http::error::partial_message;
  }
}

template <class Body>
std::optional<std::uint64_t> AnswerReader<Body>::content_length() const {
  const auto length = parser_->content_length();
  return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

template <class Body>
awaitable<beast::error_code> ReadPart(beast::tcp_stream& stream,
                                      beast::flat_buffer& buffer,
                                      AnswerReader<Body>& reader) {
  constexpr std::size_t kMaxReadBytes = 64 << 10;
  if (buffer.size() > 0) {
    beast::error_code error;
    const std::size_t used = reader.Put(buffer.data(), &error);
    buffer.consume(used);
    if (error != http::error::need_more) {
      co_return error;
    }
    if (used > 0) {
      co_return beast::error_code();
    }
  }
  const auto [error, size] = co_await stream.async_read_some(
      buffer.prepare(beast::read_size(buffer, kMaxReadBytes)), kNoThrow);
  buffer.commit(size);
  if (error != asio::error::eof) {
    co_return error;
  }
  beast::error_code end_error;
  reader.PutEnd(&end_error);
  co_return end_error;
}

template <class Body>
awaitable<beast::error_code> ReadFinalHead(beast::tcp_stream& stream,
                                           beast::flat_buffer& buffer,
                                           AnswerReader<Body>& reader) {
  for (int interim = 0; interim <= kMaxInterimAnswers; ++interim) {
    while (!reader.has_head()) {
      const beast::error_code error = co_await ReadPart(stream, buffer, reader);
      if (error) {
        co_return error;
      }
    }
    if (!reader.is_interim()) {
      co_return beast::error_code();
    }
    reader.Restart();
  }
  co_return make_error_code(http::error::bad_status);
}

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_ANSWER_READER_H_
