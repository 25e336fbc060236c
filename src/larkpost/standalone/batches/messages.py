"""Conversion of batch specifications and samples to and from protobuf messages."""

from larkpost.common.ids import BatchId, PoolId, TrainerId
from larkpost.standalone.batches.ledger import BatchSpec, Sample
from larkpost.standalone.routing.work import VersionSpan
from larkpost.standalone.wire import larkpost_pb2 as pb


def spec_to_message(spec: BatchSpec) -> pb.BatchSpec:
    """Encodes a batch's specification."""
    return pb.BatchSpec(
        id=spec.id,
        trainer=spec.trainer,
        pool=spec.pool,
        prompts=spec.prompts,
        samples_per_prompt=spec.samples_per_prompt,
        staleness_bound=spec.staleness_bound,
        policy_version=spec.policy_version,
        max_tokens=spec.max_tokens,
        due=spec.due,
        expected_tokens=spec.expected_tokens,
    )


def spec_from_message(message: pb.BatchSpec) -> BatchSpec:
    """Decodes a batch's specification."""
    return BatchSpec(
        id=BatchId(message.id),
        trainer=TrainerId(message.trainer),
        pool=PoolId(message.pool),
        prompts=tuple(message.prompts),
        samples_per_prompt=message.samples_per_prompt,
        staleness_bound=message.staleness_bound,
        policy_version=message.policy_version,
        max_tokens=message.max_tokens,
        due=message.due,
        expected_tokens=tuple(message.expected_tokens),
    )


def sample_to_message(sample: Sample) -> pb.SampleRecord:
    """Encodes a sample."""
    spans = [
        pb.VersionSpan(version=s.version, first_token=s.first_token, count=s.count)
        for s in sample.spans
    ]
    return pb.SampleRecord(slot=sample.slot, tokens=sample.tokens, spans=spans)


def sample_from_message(message: pb.SampleRecord) -> Sample:
    """Decodes a sample."""
    spans = tuple(VersionSpan(s.version, s.first_token, s.count) for s in message.spans)
    return Sample(message.slot, tuple(message.tokens), spans)
