"""The protocol between the system's own processes: messages, servers, clients.

``bambootiller_pb2`` and ``bambootiller_pb2_grpc`` are generated from
``bambootiller.proto`` and committed; ``make proto`` writes them anew.
"""
