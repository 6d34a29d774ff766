"""Ways to keep quotas over many entries, compared on virtual time.

python -m bambootiller_standins.quotaforms --entries 24 --seeds 3
"""
