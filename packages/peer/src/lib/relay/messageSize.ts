/**
 * Messages of any size, in both directions. One that is too large would end its stream, and with it all
 * statements and transactions that the stream carries; an answer is as large as the rows that were read.
 */
export const UNLIMITED_MESSAGE_SIZE = {
  'grpc.max_receive_message_length': -1,
  'grpc.max_send_message_length': -1,
};
